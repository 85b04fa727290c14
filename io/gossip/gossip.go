// Package gossip is the gossip transport between fronts. Heartbeats are UDP datagrams,
// sent several times a second and never acknowledged. Documents (the plan and the target
// list) are too large for datagrams; a front that lacks one fetches it by drpc over TCP
// from a peer whose heartbeat announces a newer revision. Both use the same IP and port.
//
// A heartbeat contains the sender's current state, not changes to it, so a lost one is made
// up for by the next. Duplicates and reordering are left to the receiver, which compares
// sequence numbers.
//
// # Usage
//
//	b, err := gossip.New("192.0.2.1:7600", log)
//	go b.Serve(ctx, func(m drpc.Mux) error { return wire.DRPCRegisterFront(m, server) })
//	go b.Run(func(m *wire.Beat) { ... })
//	b.Send(message, []string{"192.0.2.7:7600"})
//	reply, err := b.Fetch(ctx, "192.0.2.7:7600", request)
//	origin, err := b.Origin(ctx, "192.0.2.7:7600", request)
//	records, err := b.Records(ctx, "192.0.2.30:7600")
//	err = b.Close()
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"kingcupstand/core/roster"
	"kingcupstand/io/telem"
	"kingcupstand/schema/wire"
)

// Bounds of messages.
const (
	// maxDatagram is the size of the largest heartbeat that is read, in bytes.
	maxDatagram = 64 << 10
	// fetchTimeout is ample for a document of a megabyte between data centres.
	fetchTimeout = 700 * time.Millisecond
	// originTimeout is a small part of the time that callers wait for a stream to go on.
	originTimeout = 200 * time.Millisecond
	// recordsTimeout bounds the reading of a keeper's records, which are some kilobytes.
	recordsTimeout = 400 * time.Millisecond
)

// errReply is wrapped by errors about a peer's reply that is not usable.
var errReply = errors.New("invalid reply")

// Transport sends and receives heartbeats and fetches documents. It is safe for concurrent
// use.
type Transport struct {
	address  string
	log      logr.Logger
	conn     *net.UDPConn
	listener net.Listener
}

// New opens the UDP and TCP sockets at address (IP:port), which peers send to.
func New(address string, l logr.Logger) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	n, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for peers: %w", err), c.Close())
	}
	return &Transport{address: address, log: telem.Limited(l), conn: c, listener: n}, nil
}

// Close closes the sockets, which ends Run. Serve may have closed the TCP socket already;
// that is no error.
func (b *Transport) Close() error {
	err := b.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return errors.Join(b.conn.Close(), err)
}

// Serve answers peers' calls until ctx ends. Register registers the service that answers them.
func (b *Transport) Serve(ctx context.Context, register func(drpc.Mux) error) error {
	m := drpcmux.New()
	if err := register(m); err != nil {
		return fmt.Errorf("register service: %w", err)
	}
	if err := drpcserver.New(m).Serve(ctx, b.listener); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// Run calls receive with each valid heartbeat, one at a time, until the sockets are
// closed. Invalid ones are logged and dropped.
func (b *Transport) Run(receive func(*wire.Beat)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Info("cannot read heartbeat", "error", err.Error())
			continue
		}
		m, err := Parse(buf[:n])
		if err != nil {
			b.log.Info("invalid heartbeat", "from", from.String(), "bytes", n, "error", err.Error())
			continue
		}
		receive(m)
	}
}

// Send sends a heartbeat to each address. Errors are logged only: a datagram may get lost
// in the network as well, and the next heartbeat contains the same state.
func (b *Transport) Send(m *wire.Beat, to []string) {
	t, err := proto.Marshal(m)
	if err != nil {
		b.log.Error(err, "cannot encode heartbeat")
		return
	}
	for _, s := range to {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			b.log.Info("invalid peer address", "address", s)
			continue
		}
		if _, err := b.conn.WriteToUDPAddrPort(t, a); err != nil {
			b.log.V(1).Info("cannot send heartbeat", "peer", s, "error", err.Error())
		}
	}
}

// Fetch fetches documents from a peer that are newer than the revisions in q. It fails
// after fetchTimeout at the latest.
func (b *Transport) Fetch(ctx context.Context, peer string, q *wire.FetchRequest) (*wire.FetchReply, error) {
	return call(ctx, peer, fetchTimeout, wire.NewDRPCFrontClient, func(ctx context.Context, c wire.DRPCFrontClient) (*wire.FetchReply, error) {
		return c.Fetch(ctx, q)
	})
}

// Origin asks a peer what began a stream. It fails after originTimeout at the latest.
func (b *Transport) Origin(ctx context.Context, peer string, q *wire.OriginRequest) (*wire.OriginReply, error) {
	r, err := call(ctx, peer, originTimeout, wire.NewDRPCFrontClient, func(ctx context.Context, c wire.DRPCFrontClient) (*wire.OriginReply, error) {
		return c.Origin(ctx, q)
	})
	if err != nil {
		return nil, err
	}
	known := r.Recorded || r.Version != ""
	if known && !validOrigin(r.Service, r.Version) || max(r.Era, r.Revision) > roster.MaxRevision {
		return nil, fmt.Errorf("%w: service %.40q, version %.40q as of revision %d of era %d", errReply, r.Service, r.Version, r.Revision, r.Era)
	}
	return r, nil
}

// Records asks a keeper for its records. Those whose origin can't be passed on are left out. It fails after recordsTimeout at the latest.
func (b *Transport) Records(ctx context.Context, keeper string) (*wire.RecordsReply, error) {
	r, err := call(ctx, keeper, recordsTimeout, wire.NewDRPCKeeperClient, func(ctx context.Context, c wire.DRPCKeeperClient) (*wire.RecordsReply, error) {
		return c.Records(ctx, &wire.RecordsRequest{})
	})
	if err != nil {
		return nil, err
	}
	r.Streams = slices.DeleteFunc(r.Streams, func(o *wire.StreamOrigin) bool { return !validOrigin(o.Service, o.Version) })
	return r, nil
}

// call calls a peer on a connection of its own, with the client that open returns for it.
func call[C, T any](ctx context.Context, peer string, timeout time.Duration, open func(drpc.Conn) C, f func(context.Context, C) (T, error)) (r T, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := net.Dialer{}
	n, err := d.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return r, fmt.Errorf("connect to peer: %w", err)
	}
	c := drpcconn.New(n)
	r, err = f(ctx, open(c))
	if err = errors.Join(err, c.Close()); err != nil {
		return r, fmt.Errorf("call %s: %w", peer, err)
	}
	return r, nil
}
