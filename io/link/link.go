// Package link carries messages between kingcupstand's own processes over drpc.
//
// # Usage
//
//	l := link.New(nil)
//	defer l.Close()
//	s, err := l.Offer(ctx, "192.0.2.7:7000")  // no byte of an offer has left yet
//	err = s.Send(frame)
//	r, err := l.Sync(ctx, "192.0.2.7:7000", request)
//
//	err = link.Serve(ctx, listener, nil, agent, peer)
//
// A drpc connection carries one stream at a time. Each stream takes a connection
// from a pool, so that a slow caller holds up nobody but itself and TCP's own
// flow control is the backpressure. One long stream for all requests would need
// a flow control of our own.
package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"kingcupstand/schema/wire"
)

// Sizes and times of links.
const (
	dialTimeout = 2 * time.Second
	idleTime    = time.Minute
	idlePerPeer = 16
	idleTotal   = 1024
	// MaxFrame bounds one message, in bytes: a configuration document or a
	// buffered request body, with room for the rest.
	MaxFrame = 10 << 20
)

// Client opens streams to other processes. It is safe for concurrent use.
type Client struct {
	tls  *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a Link. A nil config means plain text.
func New(c *tls.Config) *Client {
	return &Client{
		tls: c,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTime,
			Capacity:    idleTotal,
			KeyCapacity: idlePerPeer,
		}),
	}
}

// Close closes the idle connections.
func (l *Client) Close() error {
	if err := l.pool.Close(); err != nil {
		return fmt.Errorf("close links: %w", err)
	}
	return nil
}

// Offer opens a stream to an agent. If it fails, no byte of an offer has left.
func (l *Client) Offer(ctx context.Context, peer string) (wire.DRPCAgent_OfferClient, error) {
	s, err := wire.NewDRPCAgentClient(l.conn(ctx, peer)).Offer(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", peer, err)
	}
	return s, nil
}

// Sync exchanges state with a peer.
func (l *Client) Sync(ctx context.Context, peer string, q *wire.SyncRequest) (*wire.SyncReply, error) {
	r, err := wire.NewDRPCPeerClient(l.conn(ctx, peer)).Sync(ctx, q)
	if err != nil {
		return nil, fmt.Errorf("sync with %s: %w", peer, err)
	}
	return r, nil
}

func (l *Client) conn(ctx context.Context, peer string) drpc.Conn {
	return l.pool.Get(ctx, peer, l.dial)
}

func (l *Client) dial(ctx context.Context, peer string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := l.open(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: options()}), nil
}

func (l *Client) open(ctx context.Context, peer string) (net.Conn, error) {
	if l.tls != nil {
		d := &tls.Dialer{Config: l.tls}
		return d.DialContext(ctx, "tcp", peer)
	}
	d := &net.Dialer{}
	return d.DialContext(ctx, "tcp", peer)
}

// options leave SoftCancel off: canceling a stream closes its connection, which
// the agent sees at once even if the entry has died.
func options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrame}}
}

// Serve answers streams that arrive on a listener until ctx ends. The agent may
// be nil for a process that takes no offers. A config makes it mutual TLS; peers
// that speak plain text then fail the handshake.
func Serve(ctx context.Context, n net.Listener, c *tls.Config, a wire.DRPCAgentServer, p wire.DRPCPeerServer) error {
	m := drpcmux.New()
	if err := wire.DRPCRegisterPeer(m, p); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	if a != nil {
		if err := wire.DRPCRegisterAgent(m, a); err != nil {
			return fmt.Errorf("register agent service: %w", err)
		}
	}
	if c != nil {
		n = tls.NewListener(n, c)
	}
	if err := drpcserver.NewWithOptions(m, drpcserver.Options{Manager: options()}).Serve(ctx, n); err != nil {
		return fmt.Errorf("serve links: %w", err)
	}
	return nil
}
