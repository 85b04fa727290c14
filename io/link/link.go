// Package link connects entries and agents by drpc: entries offer requests to agents, and
// all of them exchange state with their peers.
//
// A drpc connection carries one stream at a time, so each stream takes a connection of
// its own from a pool. A slow stream delays no other one, and TCP's flow control provides
// the backpressure. Multiplexing all requests over one connection would need another
// flow control on top.
//
// # Usage
//
//	l := link.New(nil)
//	defer l.Close()
//	s, err := l.Offer(ctx, "192.0.2.7:7000")  // connects, but sends no offer yet
//	err = s.Send(frame)
//	r, err := l.Sync(ctx, "192.0.2.7:7000", request)
//
//	err = link.Serve(ctx, listener, nil, agent, peer)
package link

import (
	"context"
	"crypto/tls"
	"errors"
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

// Limits of connections. Idle ones are pooled, by peer address.
const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = time.Minute
	maxIdlePerPeer = 16
	maxIdle        = 1024
	// MaxFrame is the size of the largest message, in bytes. It has room for a
	// configuration document and for the fields beside it.
	MaxFrame = 10 << 20
	// MaxInlineBody is the largest request body that is sent in the same frame as its offer,
	// in bytes. Larger ones follow once the request is dispatched.
	MaxInlineBody = 16 << 10
)

// Client opens streams to other processes on pooled connections. It is safe for concurrent
// use.
type Client struct {
	tls  *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// New returns a Client. If c is nil connections don't use TLS.
func New(c *tls.Config) *Client {
	return &Client{
		tls: c,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdle,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// Close closes the idle connections. Streams in use are not affected.
func (l *Client) Close() error {
	if err := l.pool.Close(); err != nil {
		return fmt.Errorf("close connection pool: %w", err)
	}
	return nil
}

// Offer opens a stream to the agent at the address peer. It sends no offer: if it fails,
// the request can't have run.
func (l *Client) Offer(ctx context.Context, peer string) (wire.DRPCAgent_OfferClient, error) {
	pooled := true
	c := l.pool.Get(ctx, peer, func(ctx context.Context, peer string) (drpcpool.Conn, error) {
		pooled = false
		return l.dial(ctx, peer)
	})
	s, err := wire.NewDRPCAgentClient(c).Offer(ctx)
	if err != nil && pooled && ctx.Err() == nil {
		// The pool takes back a connection whose stream was canceled just before it is
		// closed. Its failure tells nothing of the peer.
		s, err = l.offerOnNew(ctx, peer)
	}
	if err != nil {
		return nil, fmt.Errorf("open stream to %s: %w", peer, err)
	}
	return s, nil
}

// offerOnNew is Offer on a new connection, which is pooled after the stream.
func (l *Client) offerOnNew(ctx context.Context, peer string) (wire.DRPCAgent_OfferClient, error) {
	c, err := l.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	s, err := wire.NewDRPCAgentClient(c).Offer(ctx)
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	context.AfterFunc(s.Context(), func() { l.pool.Put(peer, c) })
	return s, nil
}

// Sync exchanges state with the process at the address peer.
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
	c, err := l.dialTCP(ctx, peer)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: options()}), nil
}

func (l *Client) dialTCP(ctx context.Context, peer string) (net.Conn, error) {
	if l.tls != nil {
		d := &tls.Dialer{Config: l.tls}
		return d.DialContext(ctx, "tcp", peer)
	}
	d := &net.Dialer{}
	return d.DialContext(ctx, "tcp", peer)
}

// options returns the options of both ends. SoftCancel stays off, so that canceling a
// stream closes its connection. An agent then sees a cancellation by an entry and the
// death of an entry in the same way, and at once.
func options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxFrame}}
}

// Serve serves the peer service p and the agent service a on n until ctx ends, and
// closes n. It returns nil once all handlers have returned after that. In a process that
// takes no offers a is nil. If c is nil connections don't use TLS. If it is that of
// node.PeerTLS they use mutual TLS, and peers without TLS fail the handshake.
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
		return fmt.Errorf("serve drpc: %w", err)
	}
	return nil
}
