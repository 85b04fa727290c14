package front

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/peers"
	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/quota"
	"kingcupstand/core/sched"
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
	lookouts = 8
	// divideTime is how often slots are divided anew.
	divideTime = 500 * time.Millisecond
	// fetchPatience is how long a newer document may take to come from the
	// platform itself before a peer is asked.
	fetchPatience = 200 * time.Millisecond
)

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
			s.pool.RemovePeer(a)
			s.desk.RemovePeer(a)
			f.telem.Log.Info("dependency lost", "dependency", "peer", "peer", a)
		}
	}
	heard, all := s.peers.Count(now)
	s.quota.SetFronts(now, heard, all)
	s.budget.SetFronts(all)
	f.meter.peers.Update(float64(heard))
	s.desk.SetFronts(heard)
	f.lookout.Store(s.peers.Position(now) < lookouts)
	p := beatPause + time.Duration(all)*beatPauseEach
	if now-s.lent >= p {
		s.lent = now
		s.pool.RefillCredits(heard)
	}
	if now-s.divided >= divideTime {
		f.divide(now, s)
	}
	f.pumpAll(now, s)
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
	opened, reused := f.dialer.Counts()
	f.meter.opened.Update(float64(opened))
	f.meter.reused.Update(float64(reused))
	f.meter.platform(now, s)
	for _, name := range s.desk.Services() {
		l := s.pool.Load(now, name)
		f.meter.load(name, l, s.desk.Waiting(name), s.budget.Remaining(now, name))
		f.telem.Log.Info("load", "service", name, "targets", l.Targets, "usable", l.Usable, "slots", l.Slots, "running", l.Running,
			"own", l.OwnRunning, "own-slots", l.OwnSlots, "waiting", s.desk.Waiting(name), "demand", int(s.desk.Demand(now, name)),
			"retries-left", int(s.budget.Remaining(now, name)), "fronts-heard", heard, "fronts", all,
			"plan", s.plan.Revision(), "list-age-ms", s.list.Age(now).Milliseconds())
	}
}

// divide computes which slots belong to this front.
func (f *Front) divide(now time.Duration, s *state) {
	s.divided = now
	s.desk.AssignSlots(now, f.settings.Peer)
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
		Peers:          s.peers.Sample(now, s.random),
	}
	for _, u := range s.pool.Uses(now) {
		m.Uses = append(m.Uses, &wire.TargetUse{
			Target: u.Target, Running: uint32(u.Running), PromptTokens: uint32(u.PromptTokens), Failing: u.Failing,
		})
	}
	for h, u := range s.quota.Uses(now) {
		m.Workspaces = append(m.Workspaces, &wire.WorkspaceUse{Workspace: h, Used: u.Used, Level: u.Level})
	}
	d := s.desk.Report(now)
	for h, v := range d.Demand {
		m.Demands = append(m.Demands, &wire.ServiceDemand{Service: h, PerSecond: v})
	}
	for k, n := range d.Waiting {
		m.Waits = append(m.Waits, &wire.RankWait{
			Service: k.Service, Rank: uint32(k.Priority.TierRank), Late: k.Priority.Late, Count: uint32(n),
		})
	}
	f.beats.Send(m, s.peers.Recipients(s.random))
}

// hear takes a peer's beat.
func (f *Front) hear(m *wire.Beat) {
	f.loop.Post(func(now time.Duration, s *state) {
		if !s.peers.Observe(now, peers.Heartbeat{
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
		us = append(us, pool.Use{Target: u.Target, Running: int(u.Running), PromptTokens: int(u.PromptTokens), Failing: u.Failing})
	}
	s.pool.SetPeer(m.Peer, us)
	ws := quota.Uses{}
	for _, w := range m.Workspaces {
		ws[w.Workspace] = quota.Use{Used: w.Used, Level: w.Level}
	}
	s.quota.Observe(now, m.Peer, m.Incarnation, m.Sequence <= youngBeats, ws)
	d := sched.Report{Waiting: map[sched.WaitKey]int{}, Demand: map[uint32]float64{}}
	for _, w := range m.Waits {
		d.Waiting[sched.WaitKey{Service: w.Service, Priority: queue.Priority{TierRank: int(w.Rank), Late: w.Late}}] = int(w.Count)
	}
	for _, v := range m.Demands {
		d.Demand[v.Service] = v.PerSecond
	}
	s.desk.SetPeer(m.Peer, d)
	f.pumpAll(now, s)
	f.catchUp(now, s)
}

// catchUp asks a peer for documents that are newer than this front's, if they
// don't come from the platform in time.
func (f *Front) catchUp(now time.Duration, s *state) {
	a, ok := s.peers.Newer(now, s.plan.Revision(), s.list.Revision(), s.random)
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
		if s.list.AdoptPeer(now, age, d) {
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
			r.Plan = s.plan.Encoded()
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
