// Package node is what every process of kingcupstand has: the configuration in
// force, the instance list, the exchange of state with peers, and health.
//
// # Usage
//
//	n, err := node.New(settings, telemetry, source, hooks)
//	n.Run(ctx)               // reads and syncs until ctx ends
//	c := n.Config()          // the configuration in force
//	link.Serve(ctx, l, nil, agent, n)
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
	retryPause   = time.Second
	syncInterval = 500 * time.Millisecond
	syncTimeout  = 2 * time.Second
	// syncPeers is how many peers are asked in each interval, however large the
	// fleet is.
	syncPeers = 4
)

// Hooks are called when something new is known. They must not block for long.
type Hooks struct {
	Config    func(*conf.Config)
	Instances func([]*spec.Instance)
	// Load is called with what the agent of the named target reported.
	Load func(name string, l *wire.Load)
	// OwnLoad returns this process's load, or nil if it is no agent.
	OwnLoad func() *wire.Load
}

// Node is the shared part of a process. It is safe for concurrent use.
type Node struct {
	settings    *spec.Settings
	telem       *telem.Telemetry
	source      poll.Source
	link        *link.Client
	hooks       Hooks
	incarnation uint64
	loop        *actor.Loop[*state]
	config      atomic.Pointer[conf.Config]
	stopping    atomic.Bool
	synced      atomic.Bool
}

// state is what the node's control goroutine owns.
type state struct {
	holder *conf.Holder
	fleet  fleet.List
	// listed is the platform's last list.
	listed []*spec.Instance
	random *rand.Rand
}

var _ wire.DRPCPeerServer = (*Node)(nil)

// New returns the node of a process. The link is used for its syncs.
func New(s *spec.Settings, t *telem.Telemetry, p poll.Source, l *link.Client, h Hooks) (*Node, error) {
	var b [16]byte
	if _, err := cryptorand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("incarnation: %w", err)
	}
	inc := binary.NativeEndian.Uint64(b[:8]) | 1 // never 0, which means unknown
	n := &Node{
		settings:    s,
		telem:       t,
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

// Incarnation returns the number that tells this process from its predecessors.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Config returns the configuration in force.
func (n *Node) Config() *conf.Config { return n.config.Load() }

// Now returns the process's uptime.
func (n *Node) Now() time.Duration { return n.loop.Now() }

// SetStopping makes the process report that it is not ready any more.
func (n *Node) SetStopping() { n.stopping.Store(true) }

// Ready reports whether the process has a configuration, has asked its peers for
// a newer one, and is not stopping.
func (n *Node) Ready() bool {
	return n.Config().Revision() > 0 && n.synced.Load() && !n.stopping.Load()
}

// Run reads the platform and syncs with peers until ctx ends.
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
	tag := ""
	for ctx.Err() == nil {
		t, err := n.source.Configuration(ctx, tag)
		if err != nil {
			n.readFailed(ctx, "configuration", err)
			continue
		}
		tag = t.Tag
		n.accept("platform", t.Body)
	}
}

// runInstances watches the instance list.
func (n *Node) runInstances(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		t, err := n.source.Instances(ctx, tag)
		if err != nil {
			n.readFailed(ctx, "instances", err)
			continue
		}
		tag = t.Tag
		l, ps := conf.ParseInstances(t.Body)
		if len(ps) > 0 {
			n.telem.Scope.Counter("instance_lists_rejected").Inc(1)
			n.telem.Log.Info("instance list rejected", "problem", ps[0].String(), "problems", len(ps))
			continue
		}
		n.loop.Post(func(now time.Duration, s *state) { n.believe(now, s, l.Instances) })
	}
}

// believe takes a list as far as it is believed.
func (n *Node) believe(now time.Duration, s *state, listed []*spec.Instance) {
	s.listed = listed
	s.fleet = s.fleet.With(now, listed)
	if s.fleet.HasMissing() {
		n.telem.Scope.Counter("instance_lists_doubted").Inc(1)
		n.telem.Log.Info("instance list doubted", "listed", len(listed), "kept", len(s.fleet.Instances()))
		time.AfterFunc(fleet.Grace, func() {
			n.loop.Post(func(now time.Duration, s *state) { n.believe(now, s, s.listed) })
		})
	}
	n.hooks.Instances(s.fleet.Instances())
}

func (n *Node) readFailed(ctx context.Context, what string, err error) {
	if errors.Is(err, poll.ErrUnchanged) || ctx.Err() != nil {
		return
	}
	n.telem.Scope.Counter("platform_read_failures").Inc(1)
	n.telem.Log.Info("platform read failed", "value", what, "error", err.Error())
	pause(ctx, retryPause)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// accept offers a document to the holder and tells the hook if it is in force.
func (n *Node) accept(from string, text []byte) {
	err := actor.Ask(n.loop, func(_ time.Duration, s *state) error {
		changed, err := s.holder.Accept(text)
		if changed {
			c := s.holder.Config()
			n.config.Store(c)
			n.telem.Scope.Gauge("revision").Update(float64(c.Revision()))
			n.telem.Log.Info("configuration in force", "revision", c.Revision(), "from", from)
			n.hooks.Config(c)
		}
		return err
	})
	if err != nil {
		n.telem.Scope.Counter("configurations_refused").Inc(1)
		n.telem.Log.Info("configuration refused", "from", from, "error", err.Error())
	}
}

// runSync asks a few peers for their state in every interval.
func (n *Node) runSync(ctx context.Context) {
	for ctx.Err() == nil {
		ps := actor.Ask(n.loop, func(_ time.Duration, s *state) []*spec.Instance {
			return n.sample(s)
		})
		var g sync.WaitGroup
		for _, p := range ps {
			g.Go(func() { n.sync(ctx, p) })
		}
		g.Wait()
		if n.Config().Revision() > 0 {
			n.synced.Store(true)
		}
		pause(ctx, syncInterval)
	}
}

// sample returns a few peers, each other than this process.
func (n *Node) sample(s *state) []*spec.Instance {
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

// sync exchanges state with one peer: the side with the lower revision gets the
// other's document.
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
		n.telem.Log.V(1).Info("sync failed", "peer", p.Name, "error", err.Error())
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
		n.telem.Log.V(1).Info("sync failed", "peer", p.Name, "error", err.Error())
	}
}

// Sync implements the peer service.
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

// Routes returns the health and metrics routes.
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

// Source returns the platform that settings name.
func Source(s *spec.Settings) poll.Source {
	if s.Platform.Url != "" {
		return poll.NewHTTP(s.Platform.Url, &http.Client{})
	}
	p := time.Duration(s.Platform.PollMs) * time.Millisecond
	return poll.NewFile(s.Platform.ConfigurationFile, s.Platform.InstancesFile, p)
}

// MinTLS is the oldest TLS version that is spoken.
const MinTLS = tls.VersionTLS13
