package fleet_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupstand/io/link"
	"kingcupstand/io/node"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// authority is a certificate authority for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.issue("authority", nil)
	return a
}

// issue creates a certificate, signed by parent or by itself if parent is nil, and writes it
// and its key as PEM files to a.dir.
func (a *authority) issue(name string, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: parent == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer, by := k, c
	if parent != nil {
		signer, by = parent.key, parent.cert
	}
	der, err := x509.CreateCertificate(rand.Reader, c, by, &k.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	b, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", b)
	c, err = x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return c, k
}

func (a *authority) write(file, kind string, der []byte) {
	a.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, file), b, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// tlsConfig returns the TLS configuration of a peer with a certificate issued by a.
func (a *authority) tlsConfig(name string) *tls.Config {
	a.t.Helper()
	a.issue(name, a)
	c, err := node.PeerTLS(&spec.Settings{Tls: &spec.Tls{Peers: &spec.Certificate{
		CertificateFile: filepath.Join(a.dir, name+".pem"),
		KeyFile:         filepath.Join(a.dir, name+".key"),
		AuthorityFile:   filepath.Join(a.dir, "authority.pem"),
	}}})
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

// peer is a server of sync requests.
type peer struct{}

func (peer) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{Process: "server"}, nil
}

// Checks that a peer is accepted only with a certificate of the same authority.
func TestPeerTLSRequiresSameAuthority(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- link.Serve(ctx, n, a.tlsConfig("server"), nil, peer{}) }()
	for _, c := range []struct {
		name string
		tls  *tls.Config
		ok   bool
	}{
		{"same authority", a.tlsConfig("client"), true},
		{"plain text", nil, false},
		{"another authority", other.tlsConfig("client"), false},
		{"no certificate", &tls.Config{RootCAs: a.tlsConfig("x").RootCAs, MinVersion: node.MinTLS}, false},
	} {
		l := link.New(c.tls)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		r, err := l.Sync(ctx, n.Addr().String(), &wire.SyncRequest{})
		if (err == nil) != c.ok {
			t.Errorf("%s: got reply %v, error %v; want an error unless the authority is the same", c.name, r, err)
		}
		cancel()
		_ = l.Close()
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// Checks that an entry with a callers' certificate serves TLS only, and that the spans of a
// request at all hops belong to one trace.
func TestCallerTLSAndJoinedTrace(t *testing.T) {
	a := newAuthority(t)
	a.issue("entry", a)
	b := newBench(t)
	traces := filepath.Join(t.TempDir(), "traces.json")
	b.EditSettings = func(s *spec.Settings) {
		s.Trace = &spec.Trace{File: traces}
		if s.Target == nil {
			s.Tls = &spec.Tls{Callers: &spec.Certificate{
				CertificateFile: filepath.Join(a.dir, "entry.pem"), KeyFile: filepath.Join(a.dir, "entry.key"),
			}}
		}
	}
	b.startService("intake-1", newFake(true), 8)
	e := b.startEntry("entry-1")
	if err := b.Publish(testDocument(1)); err != nil {
		t.Fatal(err)
	}
	plain := e.URL
	e.URL = strings.Replace(e.URL, "http:", "https:", 1)
	b.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.tlsConfig("x").RootCAs, MinVersion: node.MinTLS}}
	b.until("a call over TLS succeeds", func() bool {
		return b.send("GET", e.URL+"/services/intake/x", "x").status == http.StatusOK
	})
	if r := b.send("GET", plain+"/services/intake/x", "x"); r.status != http.StatusBadRequest {
		t.Errorf("plain text: got %d %q %v, want 400", r.status, r.body, r.err)
	}
	if err := b.StopAll(); err != nil {
		t.Fatal(err)
	}
	f, err := os.ReadFile(traces)
	if err != nil {
		t.Fatal(err)
	}
	hops := make(map[string][]string)
	for d := json.NewDecoder(bytes.NewReader(f)); d.More(); {
		var v struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		if err := d.Decode(&v); err != nil {
			t.Fatal(err)
		}
		hops[v.SpanContext.TraceID] = append(hops[v.SpanContext.TraceID], v.Name)
	}
	joined := false
	for _, h := range hops {
		all := true
		for _, n := range []string{"entry.request", "entry.offer", "agent.offer", "agent.dispatch"} {
			all = all && slices.Contains(h, n)
		}
		joined = joined || all
	}
	if !joined {
		t.Errorf("no trace has a span for each hop: %v", hops)
	}
}
