package node

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"kingcupstand/schema/spec"
)

// errNoAuthority is returned for an authority file without a certificate.
var errNoAuthority = errors.New("no certificate in authority file")

// CallerTLS returns the configuration towards callers, or nil for plain text.
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

// PeerTLS returns the configuration between processes, used by both sides, or
// nil for plain text. Either side shows a certificate of the same authority.
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
