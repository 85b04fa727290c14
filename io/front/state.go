package front

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/budg"
	"kingcupstand/core/line"
	"kingcupstand/core/list"
	"kingcupstand/core/past"
	"kingcupstand/core/peers"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/core/share"
	"kingcupstand/io/ctrl"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Times of beats.
const (
	// beatPause is the least time between two beats; a slot changes hands about as
	// often at one target.
	beatPause = 50 * time.Millisecond
	// beatPauseEach is added for each peer, so that a front's cost stays level.
	beatPauseEach = 3 * time.Millisecond
	// quietPause is the longest time between two beats.
	quietPause = 250 * time.Millisecond
	// reportTime is how often the load is written to the log.
	reportTime = time.Second
	// youngBeats is the number of beats that a peer sends in its first seconds.
	youngBeats = 20
	// lookouts is how many fronts look at the platform often; the others hear from
	// them what is new. Several, as some may be cut off.
	lookouts = 4
	// divideTime is how often slots are divided anew.
	divideTime = 500 * time.Millisecond
	// fetchPatience is how long a newer document may take to come from the
	// platform itself before a peer is asked.
	fetchPatience = 200 * time.Millisecond
)

// state is what the front's control goroutine owns.
type state struct {
	plan   *plan.Plan
	pool   *pool.Pool
	list   *list.List
	quota  *quota.Quota
	budget *budg.Budget
	peers  *peers.Peers
	lines  map[string]*queue
	random *rand.Rand
	lost   bool
	past   *past.Past
	waits  map[string]map[waitKey]int
	// demands is each peer's demand, by service.
	demands map[string]map[uint32]float64
	divided time.Duration
	lent    time.Duration
	// told is when the load was last reported.
	told  time.Duration
	heard map[string]bool
	beats uint64
	// newer is since when a peer has held a newer document.
	newer time.Duration
	// changed is true if there is something that the last beat didn't say.
	changed bool
	sent    time.Duration
	due     time.Duration
}

// waitKey names what a peer's waiting requests wait for.
type waitKey struct {
	service uint32
	rank    int
}

// queue is the line before one service.
type queue struct {
	line *line.Line[*waiter]
	// demand is how many requests a second have lately wanted a turn.
	demand   float64
	demandAt time.Duration
}

func newState(s *spec.Front, r *rand.Rand) *state {
	return &state{
		plan:  plan.Empty(),
		pool:  pool.New(s.DataCentre, r),
		list:  list.New(),
		quota: quota.New(pool.Hash),
		budget: budg.New(budg.Terms{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: time.Duration(s.RetryWindowMs) * time.Millisecond,
		}),
		peers:   peers.New(s.Peer, s.Seeds),
		lines:   map[string]*queue{},
		random:  r,
		past:    past.New(),
		demands: map[string]map[uint32]float64{},
		waits:   map[string]map[waitKey]int{},
		heard:   map[string]bool{},
	}
}

// Plan implements Sink.
func (f *Front) Plan(d *spec.Plan) { f.accept("platform", d) }

// accept puts a plan in force if it is newer than the one in force.
func (f *Front) accept(from string, d *spec.Plan) {
	if d.Revision <= f.plan.Load().Revision() {
		return
	}
	p, err := plan.New(d)
	if err != nil {
		f.telem.Log.Error(err, "plan refused", "revision", d.Revision, "from", from)
		return
	}
	ctrl.Ask(f.loop, func(now time.Duration, s *state) bool {
		if p.Revision() <= s.plan.Revision() {
			return false
		}
		old := s.plan.Revision()
		s.plan = p
		s.quota.Configure(now, p.Workspaces())
		f.plan.Store(p)
		f.apply(now, s)
		s.changed = true
		f.meter.revision.Update(float64(p.Revision()))
		f.telem.Log.Info("plan in force", "revision", p.Revision(), "replaces", old, "from", from,
			"routes", len(d.Routes), "workspaces", len(d.Workspaces))
		return true
	})
}

// apply tells the pool which targets there are.
func (f *Front) apply(now time.Duration, s *state) {
	var ts []pool.Target
	for _, r := range s.list.Replicas(now) {
		t := pool.Target{
			ID:         r.Id,
			Address:    r.Address,
			Service:    r.Service,
			DataCentre: r.DataCentre,
			Slots:      int(r.Slots),
			Leaving:    r.Leaving,
			Born:       r.Born,
		}
		if v := s.plan.Service(r.Service); v != nil {
			t.Engine = v.Engine
		}
		ts = append(ts, t)
	}
	s.pool.Apply(ts)
	f.divide(now, s)
	f.meter.targets.Update(float64(len(ts)))
	for name := range s.lines {
		f.pump(now, s, name)
	}
	if at, ok := s.list.Due(); ok && at != s.due {
		s.due = at
		time.AfterFunc(at-now+time.Millisecond, f.reapply)
	}
}

// reapply looks again at targets that are missing from the platform's list.
func (f *Front) reapply() {
	f.loop.Post(func(now time.Duration, s *state) { f.apply(now, s) })
}

// change runs a change of the list.
func (f *Front) change(c func(now time.Duration, s *state)) {
	f.loop.Post(func(now time.Duration, s *state) {
		f.regained(now, s)
		c(now, s)
		f.apply(now, s)
	})
}

// Whole implements Sink.
func (f *Front) Whole(d *spec.Directory) {
	f.change(func(now time.Duration, s *state) {
		s.list.Whole(now, d)
		f.telem.Log.Info("target list read", "revision", d.Revision, "targets", len(d.Replicas))
	})
}

// Put implements Sink.
func (f *Front) Put(revision uint64, r *spec.Replica) {
	f.change(func(now time.Duration, s *state) {
		s.list.Put(now, revision, r)
		f.telem.Log.Info("target listed", "target", r.Id, "service", r.Service, "address", r.Address,
			"leaving", r.Leaving, "born", r.Born, "revision", revision)
	})
}

// Gone implements Sink.
func (f *Front) Gone(revision uint64, id string) {
	f.change(func(now time.Duration, s *state) {
		s.list.Gone(now, revision, id)
		f.telem.Log.Info("target not listed any more", "target", id, "revision", revision)
	})
}

// Unreadable implements Sink.
func (f *Front) Unreadable(revision uint64, id string, err error) {
	f.change(func(now time.Duration, s *state) {
		s.list.Unreadable(now, revision, id)
		f.telem.Log.Info("target entry unreadable", "target", id, "revision", revision, "error", err.Error())
	})
}

// Confirm implements Sink.
func (f *Front) Confirm() {
	f.loop.Post(func(now time.Duration, s *state) {
		f.regained(now, s)
		s.list.Confirm(now)
	})
}

func (f *Front) regained(now time.Duration, s *state) {
	if !s.lost {
		return
	}
	s.lost = false
	f.telem.Log.Info("dependency regained", "dependency", "platform", "plan", s.plan.Revision(), "list-age-ms", s.list.Age(now).Milliseconds())
}

// Lost implements Sink.
func (f *Front) Lost(err error) {
	f.loop.Post(func(now time.Duration, s *state) {
		s.list.Lost()
		if s.lost {
			return
		}
		s.lost = true
		f.meter.lost.Inc(1)
		f.telem.Log.Info("dependency lost", "dependency", "platform", "error", err.Error(),
			"plan", s.plan.Revision(), "list-age-ms", s.list.Age(now).Milliseconds())
	})
}

// Lookout implements Sink.
func (f *Front) Lookout() bool { return f.lookout.Load() }

// runBeats tells peers what this front has in flight until ctx ends.
func (f *Front) runBeats(ctx context.Context) {
	t := time.NewTicker(beatPause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.loop.Post(f.tick)
		}
	}
}

// tick does what is due from time to time.
func (f *Front) tick(now time.Duration, s *state) {
	for _, a := range s.peers.Expire(now) {
		if s.heard[a] {
			delete(s.heard, a)
			s.pool.Forget(a)
			delete(s.waits, a)
			delete(s.demands, a)
			f.telem.Log.Info("dependency lost", "dependency", "peer", "peer", a)
		}
	}
	heard, all := s.peers.Count(now)
	s.quota.Reachable(now, heard, all)
	s.budget.Share(all)
	f.meter.peers.Update(float64(heard))
	f.fronts.Store(int64(heard))
	f.lookout.Store(s.peers.Before(now) < lookouts)
	p := beatPause + time.Duration(all)*beatPauseEach
	if now-s.lent >= p {
		s.lent = now
		s.pool.Lend(heard)
	}
	if now-s.divided >= divideTime {
		f.divide(now, s)
	}
	for name := range s.lines {
		f.pump(now, s, name)
	}
	f.catchUp(now, s)
	if now-s.told >= reportTime {
		f.report(now, s, heard, all)
	}
	if now-s.sent >= quietPause || (s.changed && now-s.sent >= p) {
		f.sendBeat(now, s)
	}
}

// report writes what this front believes about the load of each service.
func (f *Front) report(now time.Duration, s *state, heard, all int) {
	s.told = now
	for name, q := range s.lines {
		l := s.pool.Load(now, name)
		f.telem.Log.Info("load", "service", name, "targets", l.Targets, "usable", l.Usable, "slots", l.Slots, "running", l.Running,
			"own", l.Own, "own-slots", l.Mine, "waiting", q.line.Len(), "demand", int(q.want(now)),
			"retries-left", int(s.budget.Left(now, name)), "fronts-heard", heard, "fronts", all,
			"plan", s.plan.Revision(), "list-age-ms", s.list.Age(now).Milliseconds())
	}
}

// divide computes which slots belong to this front.
func (f *Front) divide(now time.Duration, s *state) {
	s.divided = now
	mine := map[string]int{}
	for name, q := range s.lines {
		if v := s.plan.Service(name); v == nil || !v.Engine {
			continue
		}
		fs := []share.Front{{Name: f.settings.Peer, Weight: q.want(now)}}
		for a, d := range s.demands {
			fs = append(fs, share.Front{Name: a, Weight: d[pool.Hash(name)]})
		}
		var ts []share.Target
		for _, t := range s.pool.Targets(name) {
			ts = append(ts, share.Target{ID: t.ID, Slots: t.Slots})
		}
		for id, n := range share.Mine(f.settings.Peer, fs, ts) {
			mine[id] = n
		}
	}
	s.pool.Own(mine)
}

func (f *Front) sendBeat(now time.Duration, s *state) {
	s.sent, s.changed = now, false
	s.beats++
	m := &wire.Beat{
		Peer:           f.settings.Peer,
		Incarnation:    f.incarnation,
		Sequence:       s.beats,
		Plan:           s.plan.Revision(),
		Directory:      s.list.Revision(),
		DirectoryAgeMs: uint32(s.list.Age(now).Milliseconds()),
		Leaving:        f.stopping.Load(),
		Peers:          s.peers.Introduced(now, s.random),
	}
	for _, u := range s.pool.Uses(now) {
		m.Uses = append(m.Uses, &wire.TargetUse{
			Target: u.Target, Running: uint32(u.Running), PromptTokens: uint32(u.Prompt), Failing: u.Failing,
		})
	}
	for h, u := range s.quota.Uses(now) {
		m.Workspaces = append(m.Workspaces, &wire.WorkspaceUse{Workspace: h, Used: u.Used, Level: u.Level})
	}
	for name, q := range s.lines {
		m.Demands = append(m.Demands, &wire.ServiceDemand{Service: pool.Hash(name), PerSecond: q.want(now)})
		for r, n := range q.line.Ranks() {
			m.Waits = append(m.Waits, &wire.RankWait{Service: pool.Hash(name), Rank: uint32(r), Count: uint32(n)})
		}
	}
	f.beats.Send(m, s.peers.Audience(s.random))
}

// hear takes a peer's beat.
func (f *Front) hear(m *wire.Beat) {
	f.loop.Post(func(now time.Duration, s *state) {
		if !s.peers.Hear(now, peers.Beat{
			Peer: m.Peer, Incarnation: m.Incarnation, Sequence: m.Sequence,
			Plan: m.Plan, Directory: m.Directory, Leaving: m.Leaving, Peers: m.Peers,
		}) {
			return
		}
		if !s.heard[m.Peer] {
			s.heard[m.Peer] = true
			f.telem.Log.Info("dependency regained", "dependency", "peer", "peer", m.Peer, "incarnation", m.Incarnation, "plan", m.Plan)
		}
		f.learn(now, s, m)
	})
}

// learn takes what a peer has in flight, has used and lets wait.
func (f *Front) learn(now time.Duration, s *state, m *wire.Beat) {
	us := make([]pool.Use, 0, len(m.Uses))
	for _, u := range m.Uses {
		us = append(us, pool.Use{Target: u.Target, Running: int(u.Running), Prompt: int(u.PromptTokens), Failing: u.Failing})
	}
	s.pool.Hear(m.Peer, us)
	ws := quota.Uses{}
	for _, w := range m.Workspaces {
		ws[w.Workspace] = quota.Use{Used: w.Used, Level: w.Level}
	}
	s.quota.Hear(now, m.Peer, m.Incarnation, m.Sequence <= youngBeats, ws)
	k := map[waitKey]int{}
	for _, w := range m.Waits {
		k[waitKey{w.Service, int(w.Rank)}] = int(w.Count)
	}
	s.waits[m.Peer] = k
	d := map[uint32]float64{}
	for _, v := range m.Demands {
		d[v.Service] = v.PerSecond
	}
	s.demands[m.Peer] = d
	for name := range s.lines {
		f.pump(now, s, name)
	}
	f.catchUp(now, s)
}

// catchUp asks a peer for documents that are newer than this front's, if they
// don't come from the platform in time.
func (f *Front) catchUp(now time.Duration, s *state) {
	a, ok := s.peers.Newer(now, s.plan.Revision(), s.list.Revision())
	if !ok {
		s.newer = 0
		return
	}
	if s.newer == 0 {
		s.newer = now
	}
	p := fetchPatience
	if s.lost || s.plan.Revision() == 0 {
		p = 0
	}
	if now-s.newer < p || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go f.runFetch(a, &wire.FetchRequest{Plan: s.plan.Revision(), Directory: s.list.Revision()})
}

// runFetch gets a peer's newer documents.
func (f *Front) runFetch(peer string, q *wire.FetchRequest) {
	defer f.fetching.Store(false)
	r, err := f.beats.Fetch(context.Background(), peer, q)
	if err != nil {
		f.telem.Log.Info("documents not fetched", "peer", peer, "error", err.Error())
		return
	}
	if len(r.Plan) > 0 {
		d := &spec.Plan{}
		if err := proto.Unmarshal(r.Plan, d); err != nil {
			f.telem.Log.Error(err, "peer's plan not understood", "peer", peer)
		} else {
			f.accept(peer, d)
		}
	}
	if len(r.Directory) > 0 {
		f.hearDirectory(peer, r)
	}
}

func (f *Front) hearDirectory(peer string, r *wire.FetchReply) {
	d := &spec.Directory{}
	if err := proto.Unmarshal(r.Directory, d); err != nil {
		f.telem.Log.Error(err, "peer's list not understood", "peer", peer)
		return
	}
	age := time.Duration(r.DirectoryAgeMs) * time.Millisecond
	f.loop.Post(func(now time.Duration, s *state) {
		if s.list.Hear(now, age, d) {
			f.telem.Log.Info("target list read", "revision", d.Revision, "targets", len(d.Replicas), "from", peer, "age-ms", r.DirectoryAgeMs)
			f.apply(now, s)
		}
	})
}

// Fetch implements the service that fronts offer each other.
func (f *Front) Fetch(_ context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
	return ctrl.Ask(f.loop, func(now time.Duration, s *state) *wire.FetchReply {
		r := &wire.FetchReply{DirectoryAgeMs: uint32(s.list.Age(now).Milliseconds())}
		if s.plan.Revision() > q.Plan {
			r.Plan = s.plan.Text()
		}
		if s.list.Revision() > q.Directory {
			b, err := proto.Marshal(s.list.Directory(now))
			if err != nil {
				f.telem.Log.Error(err, "list not encoded")
			}
			r.Directory = b
		}
		return r
	}), nil
}
