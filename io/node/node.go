// Package node implements what entries and agents have in common: they read the
// configuration and the instance list from the platform, sync with peers, and serve
// health checks and metrics.
//
// # Usage
//
//	n, err := node.New(settings, telemetry, source, client, hooks)
//	go n.Run(ctx)                                // until ctx ends
//	c := n.Config()                              // the current configuration
//	err = link.Serve(ctx, listener, nil, nil, n) // handles the peers' calls
//
// # Sync
//
// Each process calls a few random peers from the instance list every half second. The two
// compare the revisions of their configurations, and the one with the older revision gets
// the other's document. A configuration thus reaches all processes even if only some of
// them can reach the platform. Agents add a load report to their replies, which the
// entries use for routing.
//
// # Invariants
//
//   - The current configuration is valid, and its revision never decreases.
//   - A process is not ready before it has a configuration and has ended a round of syncs,
//     as peers may have a newer one.
//   - If an instance list lacks more than half of the live instances at once, it is
//     probably faulty, and they are kept for a grace time; see core/fleet.
package node

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cryptorand "crypto/rand"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/rest"

	"kingcupstand/core/conf"
	"kingcupstand/core/fleet"
	"kingcupstand/io/actor"
	"kingcupstand/io/link"
	"kingcupstand/io/poll"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Times and sizes of the exchange with the platform and with peers.
const (
	// retryDelay is the delay after a failed read of the platform.
	retryDelay = time.Second
	// syncInterval is the time between two rounds of syncs.
	syncInterval = 500 * time.Millisecond
	// syncTimeout bounds the sync with one peer.
	syncTimeout = 2 * time.Second
	// syncPeers is the number of peers that are called in each round. It does not grow
	// with the number of instances.
	syncPeers = 4
)

// Hooks are functions that a Node calls. Config and Instances are called on the Node's
// control loop, one at a time; Load and OwnLoad may be called concurrently. They must not
// block for long.
type Hooks struct {
	// Config is called with each new configuration.
	Config func(*conf.Config)
	// Instances is called with the instances in use, which it must not change.
	Instances func([]*spec.Instance)
	// Load is called with each load report of the named target's agent.
	Load func(name string, l *wire.Load)
	// OwnLoad returns this process's load report. It is nil if the process is no agent.
	OwnLoad func() *wire.Load
}

// Node is the part of a process that entries and agents have in common. Its methods are
// safe for concurrent use.
type Node struct {
	settings    *spec.Settings
	telem       *telem.Telemetry
	log         logr.Logger
	source      poll.Source
	link        *link.Client
	hooks       Hooks
	incarnation uint64
	loop        *actor.Loop[*state]
	// config is the current configuration, a copy of that in state for other goroutines.
	config   atomic.Pointer[conf.Config]
	stopping atomic.Bool
	// synced is true once a round of syncs has ended with a configuration present.
	synced atomic.Bool
}

// state is owned by the node's control loop.
type state struct {
	holder *conf.Holder
	fleet  fleet.List
	// published is the last instance list of the platform.
	published []*spec.Instance
	random    *rand.Rand
}

var _ wire.DRPCPeerServer = (*Node)(nil)

// New returns the node of a process. It reads the platform p and calls peers on the link
// l, which the caller closes. New starts a goroutine, which Run stops. It fails if
// random numbers can't be read.
func New(s *spec.Settings, t *telem.Telemetry, p poll.Source, l *link.Client, h Hooks) (*Node, error) {
	var b [16]byte
	if _, err := cryptorand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("incarnation: %w", err)
	}
	inc := binary.NativeEndian.Uint64(b[:8]) | 1 // never 0, which means unknown
	n := &Node{
		settings:    s,
		telem:       t,
		log:         telem.Limited(t.Log),
		source:      p,
		link:        l,
		hooks:       h,
		incarnation: inc,
		loop: actor.New(&state{
			holder: conf.NewHolder(),
			random: rand.New(rand.NewPCG(inc, binary.NativeEndian.Uint64(b[8:]))),
		}),
	}
	n.config.Store(conf.NewHolder().Config())
	return n, nil
}

// Incarnation returns a random number that distinguishes this process from earlier ones
// with the same name. It is never 0.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Config returns the current configuration. Before the first one, it is empty with
// revision 0.
func (n *Node) Config() *conf.Config { return n.config.Load() }

// Now returns the time since New, which serves as the process's uptime.
func (n *Node) Now() time.Duration { return n.loop.Now() }

// SetStopping makes Ready return false from now on.
func (n *Node) SetStopping() { n.stopping.Store(true) }

// Ready reports whether the process has a configuration, has called peers for a newer
// one, and is not stopping.
func (n *Node) Ready() bool {
	return n.Config().Revision() > 0 && n.synced.Load() && !n.stopping.Load()
}

// Run watches the platform and syncs with peers until ctx ends. It may be called once.
func (n *Node) Run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() { n.runConfiguration(ctx) })
	g.Go(func() { n.runInstances(ctx) })
	g.Go(func() { n.runSync(ctx) })
	g.Wait()
	n.loop.Stop()
}

// runConfiguration watches the configuration document.
func (n *Node) runConfiguration(ctx context.Context) {
	r := reader{get: n.source.Configuration}
	for ctx.Err() == nil {
		t, err := r.read(ctx)
		if err != nil {
			n.readFailed(ctx, "configuration", err)
			continue
		}
		n.accept("platform", t.Body)
	}
}

// runInstances watches the instance list.
func (n *Node) runInstances(ctx context.Context) {
	r := reader{get: n.source.Instances}
	for ctx.Err() == nil {
		t, err := r.read(ctx)
		if err != nil {
			n.readFailed(ctx, "instances", err)
			continue
		}
		l, ps, ok := conf.ReadInstances(t.Body)
		if !ok {
			n.telem.Scope.Counter("instance_lists_rejected").Inc(1)
			n.log.Info("instance list rejected", "problem", ps[0].String(), "problems", len(ps))
			continue
		}
		if len(ps) > 0 {
			n.telem.Scope.Counter("instances_ignored").Inc(int64(len(ps)))
			n.log.Info("instances ignored", "problem", ps[0].String(), "problems", len(ps), "listed", len(l))
		}
		n.loop.Post(func(now time.Duration, s *state) { n.applyInstances(now, s, l) })
	}
}

// applyInstances applies an instance list of the platform. If it lacks so many instances
// that they are kept, the last published list is applied again after fleet.Grace, so that
// those still missing are dropped.
func (n *Node) applyInstances(now time.Duration, s *state, listed []*spec.Instance) {
	s.published = listed
	s.fleet = s.fleet.With(now, listed)
	if s.fleet.HasMissing() {
		n.telem.Scope.Counter("instance_lists_doubted").Inc(1)
		n.log.Info("instance list doubted", "listed", len(listed), "kept", len(s.fleet.Instances()))
		time.AfterFunc(fleet.Grace, func() {
			n.loop.Post(func(now time.Duration, s *state) { n.applyInstances(now, s, s.published) })
		})
	}
	n.hooks.Instances(s.fleet.Instances())
}

// readFailed logs a failed read of the platform and waits for retryDelay. It does nothing
// if the value is unchanged or ctx has ended.
func (n *Node) readFailed(ctx context.Context, what string, err error) {
	if errors.Is(err, poll.ErrUnchanged) || ctx.Err() != nil {
		return
	}
	n.telem.Scope.Counter("platform_read_failures").Inc(1)
	n.log.Info("platform read failed", "value", what, "error", err.Error())
	sleep(ctx, retryDelay)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// accept makes a configuration document the current one if it is valid and newer. From
// names its source for the log.
func (n *Node) accept(from string, text []byte) {
	err := actor.Ask(n.loop, func(_ time.Duration, s *state) error {
		changed, err := s.holder.Accept(text)
		if changed {
			c := s.holder.Config()
			n.config.Store(c)
			n.telem.Scope.Gauge("revision").Update(float64(c.Revision()))
			n.log.Info("configuration in force", "revision", c.Revision(), "from", from)
			n.hooks.Config(c)
		}
		return err
	})
	if err != nil {
		n.telem.Scope.Counter("configurations_refused").Inc(1)
		n.log.Info("configuration refused", "from", from, "error", err.Error())
	}
}

// runSync syncs with a few peers every syncInterval until ctx ends.
func (n *Node) runSync(ctx context.Context) {
	for ctx.Err() == nil {
		ps := actor.Ask(n.loop, func(_ time.Duration, s *state) []*spec.Instance {
			return n.samplePeers(s)
		})
		var g sync.WaitGroup
		for _, p := range ps {
			g.Go(func() { n.sync(ctx, p) })
		}
		g.Wait()
		if n.Config().Revision() > 0 {
			n.synced.Store(true)
		}
		sleep(ctx, syncInterval)
	}
}

// samplePeers returns up to syncPeers random instances other than this process.
func (n *Node) samplePeers(s *state) []*spec.Instance {
	var ps []*spec.Instance
	all := s.fleet.Instances()
	for _, i := range s.random.Perm(len(all)) {
		if len(ps) == syncPeers {
			break
		}
		if p := all[i]; p.Name != n.settings.Name {
			ps = append(ps, p)
		}
	}
	return ps
}

// sync exchanges revisions with one peer. The side with the lower revision gets the
// other's document; if that is the peer, in a second call.
func (n *Node) sync(ctx context.Context, p *spec.Instance) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	q := &wire.SyncRequest{
		Process:     n.settings.Name,
		Incarnation: n.incarnation,
		Revision:    n.Config().Revision(),
	}
	r, err := n.link.Sync(ctx, p.Peer, q)
	if err != nil {
		n.telem.Scope.Counter("sync_failures").Inc(1)
		n.log.V(1).Info("sync failed", "peer", p.Name, "error", err.Error())
		return
	}
	if len(r.Document) > 0 {
		n.accept(p.Name, r.Document)
	}
	if r.Load != nil {
		n.hooks.Load(r.Process, r.Load)
	}
	c := n.Config()
	if r.Revision >= c.Revision() {
		return
	}
	q.Revision = c.Revision()
	q.Document = c.Text()
	if _, err := n.link.Sync(ctx, p.Peer, q); err != nil {
		n.log.V(1).Info("sync failed", "peer", p.Name, "error", err.Error())
	}
}

// Sync implements wire.DRPCPeerServer.
func (n *Node) Sync(_ context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	if len(q.Document) > 0 {
		n.accept(q.Process, q.Document)
	}
	c := n.Config()
	r := &wire.SyncReply{
		Process:     n.settings.Name,
		Incarnation: n.incarnation,
		Revision:    c.Revision(),
	}
	if q.Revision < c.Revision() {
		r.Document = c.Text()
	}
	if n.hooks.OwnLoad != nil {
		r.Load = n.hooks.OwnLoad()
	}
	return r, nil
}

// Routes returns the HTTP routes of all processes: /healthz is always 200, /readyz is 200
// if the process is ready and else 503, /metrics serves the metrics.
func (n *Node) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: n.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: n.readyz},
		{Method: http.MethodGet, Path: "/metrics", Handler: n.telem.MetricsHandler().ServeHTTP},
	}
}

func (n *Node) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Source returns the platform that the settings name: a URL, or else two local files.
func Source(s *spec.Settings) poll.Source {
	if s.Platform.Url != "" {
		return poll.NewHTTP(s.Platform.Url, &http.Client{})
	}
	p := time.Duration(s.Platform.PollMs) * time.Millisecond
	return poll.NewFile(s.Platform.ConfigurationFile, s.Platform.InstancesFile, p)
}

// MinTLS is the oldest TLS version that is accepted.
const MinTLS = tls.VersionTLS13
