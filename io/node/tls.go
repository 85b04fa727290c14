package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"kingcupstand/schema/spec"
)

// errNoAuthority reports an authority file without a certificate.
var errNoAuthority = errors.New("no certificate in authority file")

// CallerTLS returns the server configuration for callers' connections, or nil if the
// settings have none, which means plain text.
func CallerTLS(s *spec.Settings) (*tls.Config, error) {
	c := s.GetTls().GetCallers()
	if c == nil {
		return nil, nil
	}
	p, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls.callers: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{p}, MinVersion: MinTLS}, nil
}

// PeerTLS returns the configuration for connections between processes, or nil if the
// settings have none, which means plain text. Clients and servers use the same one: each
// side must present a certificate of the authority in the settings.
func PeerTLS(s *spec.Settings) (*tls.Config, error) {
	c := s.GetTls().GetPeers()
	if c == nil {
		return nil, nil
	}
	p, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls.peers: %w", err)
	}
	b, err := os.ReadFile(c.AuthorityFile)
	if err != nil {
		return nil, fmt.Errorf("tls.peers: %w", err)
	}
	a := x509.NewCertPool()
	if !a.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("tls.peers: %s: %w", c.AuthorityFile, errNoAuthority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{p},
		RootCAs:      a,
		ClientCAs:    a,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   MinTLS,
	}, nil
}
