// Package gossip carries what fronts tell each other: small datagrams several times
// a second, and the documents that a front lacks over drpc.
//
// # Usage
//
//	b, err := beat.New("192.0.2.1:7600", log)
//	go b.Serve(ctx, holder)
//	go b.Run(ctx, func(m *wire.Beat) { ... })
//	b.Send(message, []string{"192.0.2.7:7600"})
//	reply, err := b.Fetch(ctx, "192.0.2.7:7600", request)
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"kingcupstand/schema/wire"
)

// Bounds of an exchange.
const (
	// datagram is the largest beat that is read, in bytes.
	datagram = 64 << 10
	// fetchTimeout is ample for a document of a megabyte between data centres.
	fetchTimeout = 700 * time.Millisecond
)

// Transport sends and receives. It is safe for concurrent use.
type Transport struct {
	address string
	log     logr.Logger
	conn    *net.UDPConn
	listen  net.Listener
}

// New opens the sockets of a front's address for peers.
func New(address string, l logr.Logger) (*Transport, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("address for peers: %w", err)
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, fmt.Errorf("listen for beats: %w", err)
	}
	n, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for peers: %w", err), c.Close())
	}
	return &Transport{address: address, log: l, conn: c, listen: n}, nil
}

// Close closes the sockets, which ends Run. The end of Serve has closed its own
// already.
func (b *Transport) Close() error {
	err := b.listen.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	return errors.Join(b.conn.Close(), err)
}

// Serve answers fetches until ctx ends.
func (b *Transport) Serve(ctx context.Context, s wire.DRPCFrontServer) error {
	m := drpcmux.New()
	if err := wire.DRPCRegisterFront(m, s); err != nil {
		return fmt.Errorf("register front service: %w", err)
	}
	if err := drpcserver.New(m).Serve(ctx, b.listen); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// Run hands over each beat that arrives until the sockets are closed.
func (b *Transport) Run(take func(*wire.Beat)) {
	buf := make([]byte, datagram)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.log.Info("beat not read", "error", err.Error())
			continue
		}
		m, err := Parse(buf[:n])
		if err != nil {
			b.log.Info("beat not understood", "from", from.String(), "bytes", n, "error", err.Error())
			continue
		}
		take(m)
	}
}

// Send sends a beat to each address. A datagram that can't be sent is dropped, as
// the network may do as well; the next beat says all of it again.
func (b *Transport) Send(m *wire.Beat, to []string) {
	t, err := proto.Marshal(m)
	if err != nil {
		b.log.Error(err, "beat not encoded")
		return
	}
	for _, s := range to {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			b.log.Info("peer address not understood", "address", s)
			continue
		}
		if _, err := b.conn.WriteToUDPAddrPort(t, a); err != nil {
			b.log.V(1).Info("beat not sent", "peer", s, "error", err.Error())
		}
	}
}

// Fetch asks a peer for newer documents.
func (b *Transport) Fetch(ctx context.Context, peer string, q *wire.FetchRequest) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	d := net.Dialer{}
	n, err := d.DialContext(ctx, "tcp4", peer)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	c := drpcconn.New(n)
	r, err := wire.NewDRPCFrontClient(c).Fetch(ctx, q)
	if err = errors.Join(err, c.Close()); err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", peer, err)
	}
	return r, nil
}
