// Package keeper is a process beside a target that keeps records of streams: which version of the
// targets' software began each that fronts have in progress. Fronts keep such records for each other
// (package origin), but none is left when all of them are killed or lose power at once. A front that
// starts reads the records of the keepers.
//
// A keeper takes no part in the exchange between fronts, and sends nothing on its own. It keeps the
// records in memory: they are gone when it ends, and each record is therefore at several keepers.
//
// # Usage
//
//	k := keeper.New(settings, telemetry)
//	err := k.Run(ctx, stop)
package keeper

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"storj.io/drpc"

	"kingcupstand/core/origin"
	"kingcupstand/io/actor"
	"kingcupstand/io/gossip"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// headerTimeout bounds how long a client of the metrics may take to send its request.
const headerTimeout = 5 * time.Second

// Keeper is one keeper process.
type Keeper struct {
	settings *spec.Keeper
	telem    *telem.Telemetry
	log      logr.Logger
	loop     *actor.Loop[*origin.Kept]
}

var _ wire.DRPCKeeperServer = (*Keeper)(nil)

// New returns a Keeper with the given settings. It opens no sockets before Run.
func New(s *spec.Keeper, t *telem.Telemetry) *Keeper {
	return &Keeper{settings: s, telem: t, log: telem.Limited(t.Log), loop: actor.New(origin.NewKept())}
}

// Run serves until stop is closed or ctx ends, and returns nil then, or until a server fails. It may
// be called once.
func (k *Keeper) Run(ctx context.Context, stop <-chan struct{}) error {
	defer k.loop.Stop()
	b, err := gossip.New(k.settings.Peer, k.telem.Log)
	if err != nil {
		return err
	}
	m, err := k.serveMetrics()
	if err != nil {
		return errors.Join(err, b.Close())
	}
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	var g sync.WaitGroup
	errs := make(chan error, 2)
	g.Go(func() {
		errs <- b.Serve(inner, func(m drpc.Mux) error { return wire.DRPCRegisterKeeper(m, k) })
	})
	g.Go(func() { b.Run(k.receive) })
	if m != nil {
		g.Go(func() { errs <- m.run() })
	}
	k.telem.Log.Info("started", "role", "keeper", "peer", k.settings.Peer)
	select {
	case <-ctx.Done():
	case <-stop:
	case err = <-errs:
	}
	cancel()
	err = errors.Join(err, b.Close())
	if m != nil {
		err = errors.Join(err, m.server.Close())
	}
	g.Wait()
	k.telem.Log.Info("stopped")
	return err
}

// receive records what a front has in progress.
func (k *Keeper) receive(m *wire.Beat) {
	from := origin.Sender{Front: m.Peer, Incarnation: m.Incarnation, Sequence: m.Sequence}
	k.loop.Post(func(now time.Duration, t *origin.Kept) {
		for _, o := range m.Streams {
			t.Observe(now, from, origin.Report{
				Origin:  origin.Origin{Service: o.Service, Version: o.Version},
				Streams: o.Streams, All: m.AllStreams,
			})
		}
	})
}

// Records implements wire.DRPCKeeperServer.
func (k *Keeper) Records(context.Context, *wire.RecordsRequest) (*wire.RecordsReply, error) {
	by := actor.Ask(k.loop, func(now time.Duration, t *origin.Kept) map[origin.Origin][]uint64 { return t.Streams(now) })
	r := &wire.RecordsReply{}
	n := 0
	for o, ids := range by {
		r.Streams = append(r.Streams, &wire.StreamOrigin{Service: o.Service, Version: o.Version, Streams: ids})
		n += len(ids)
	}
	slices.SortFunc(r.Streams, func(a, b *wire.StreamOrigin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	k.telem.Scope.Counter("records_read").Inc(1)
	k.log.Info("records read", "streams", n)
	return r, nil
}

// metrics is the server of the metrics.
type metrics struct {
	server *http.Server
	net    net.Listener
}

func (m *metrics) run() error {
	if err := m.server.Serve(m.net); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

// serveMetrics opens the listener for metrics, or returns nil if the settings have none.
func (k *Keeper) serveMetrics() (*metrics, error) {
	if k.settings.Metrics == "" {
		return nil, nil
	}
	n, err := net.Listen("tcp4", k.settings.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	return &metrics{&http.Server{Handler: k.telem.MetricsHandler(), ReadHeaderTimeout: headerTimeout}, n}, nil
}
