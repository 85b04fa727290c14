package link

import (
	"context"
	"net"
	"sync"
	"testing"

	"storj.io/drpc"

	"kingcupstand/schema/wire"
)

// answerer answers each offer and each sync at once.
type answerer struct{}

func (answerer) Offer(s wire.DRPCAgent_OfferStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	return s.Send(&wire.AgentFrame{Kind: &wire.AgentFrame_End{End: &wire.End{Whole: true}}})
}

func (answerer) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{}, nil
}

// startAnswerer serves an answerer until the end of the test and returns its address.
func startAnswerer(t *testing.T) string {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = Serve(ctx, n, nil, answerer{}, answerer{}) })
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return n.Addr().String()
}

// offer makes one offer, reads its only frame and cancels the stream, as entries do. It
// returns the error of Client.Offer.
func offer(ctx context.Context, l *Client, peer string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := l.Offer(ctx, peer)
	if err != nil {
		return err
	}
	if s.Send(&wire.EntryFrame{Kind: &wire.EntryFrame_Offer{Offer: &wire.Offer{}}}) == nil {
		_, _ = s.Recv()
	}
	return nil
}

// closing is a connection that is about to be closed, as one whose stream was just
// canceled: Closed does not show it yet, but it opens no stream.
type closing struct{}

func (closing) Close() error               { return nil }
func (closing) Closed() <-chan struct{}    { return nil }
func (closing) Unblocked() <-chan struct{} { c := make(chan struct{}); close(c); return c }

func (closing) Invoke(context.Context, string, drpc.Encoding, drpc.Message, drpc.Message) error {
	return context.Canceled
}

func (closing) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, context.Canceled
}

// The pool returns a connection that is about to be closed, at each attempt. A stream to a
// peer that serves must open all the same.
func TestOfferOpensBesideClosingConnection(t *testing.T) {
	peer := startAnswerer(t)
	l := New(nil)
	defer l.Close()
	l.pool.Put(peer, closing{})
	for range 3 {
		if err := offer(t.Context(), l, peer); err != nil {
			t.Errorf("Offer: got %v, want a stream", err)
		}
	}
}

// As above, with the connections of many streams that are canceled at once.
func TestOfferOpensBesideCanceledStreams(t *testing.T) {
	peer := startAnswerer(t)
	l := New(nil)
	defer l.Close()
	var g sync.WaitGroup
	for range 32 {
		g.Go(func() {
			for range 200 {
				if err := offer(t.Context(), l, peer); err != nil {
					t.Errorf("Offer: got %v, want a stream", err)
				}
			}
		})
	}
	g.Wait()
}

// A peer that does not serve can't be reached on a new connection either.
func TestOfferFailsWithoutPeer(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	l := New(nil)
	defer l.Close()
	l.pool.Put(n.Addr().String(), closing{})
	if err := offer(t.Context(), l, n.Addr().String()); err == nil {
		t.Error("Offer: got a stream to a closed port, want an error")
	}
}
