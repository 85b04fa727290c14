package front

import (
	"math/rand/v2"
	"time"

	"kingcupstand/core/peers"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/core/retry"
	"kingcupstand/core/roster"
	"kingcupstand/core/sched"
	"kingcupstand/core/spent"
	"kingcupstand/io/ctrl"
	"kingcupstand/schema/spec"
)

// state is what the front's control goroutine owns.
type state struct {
	plan    *plan.Plan
	pool    *pool.Pool
	list    *roster.List
	quota   *quota.Limiter
	budget  *retry.Budget
	peers   *peers.Table
	desk    *sched.Scheduler[*waiter]
	random  *rand.Rand
	lost    bool
	past    *spent.Estimator
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

func newState(s *spec.Front, r *rand.Rand) *state {
	p := pool.New(s.DataCentre, r)
	return &state{
		plan:  plan.Empty(),
		pool:  p,
		desk:  sched.New[*waiter](p, r),
		list:  roster.New(),
		quota: quota.New(pool.Hash),
		budget: retry.New(retry.Limits{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: time.Duration(s.RetryWindowMs) * time.Millisecond,
		}),
		peers:  peers.New(s.Peer, s.Seeds),
		random: r,
		past:   spent.New(),
		heard:  map[string]bool{},
	}
}

// SetPlan implements Sink.
func (f *Front) SetPlan(d *spec.Plan) { f.accept("platform", d) }

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
	s.pool.SetTargets(ts)
	f.divide(now, s)
	f.meter.targets.Update(float64(len(ts)))
	f.pumpAll(now, s)
	if at, ok := s.list.NextExpiry(); ok && at != s.due {
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

// ReplaceTargets implements Sink.
func (f *Front) ReplaceTargets(d *spec.Directory) {
	f.change(func(now time.Duration, s *state) {
		s.list.ApplySnapshot(now, d)
		f.telem.Log.Info("target list read", "revision", d.Revision, "targets", len(d.Replicas))
	})
}

// PutTarget implements Sink.
func (f *Front) PutTarget(revision uint64, r *spec.Replica) {
	f.change(func(now time.Duration, s *state) {
		s.list.Put(now, revision, r)
		f.telem.Log.Info("target listed", "target", r.Id, "service", r.Service, "address", r.Address,
			"leaving", r.Leaving, "born", r.Born, "revision", revision)
	})
}

// RemoveTarget implements Sink.
func (f *Front) RemoveTarget(revision uint64, id string) {
	f.change(func(now time.Duration, s *state) {
		s.list.Delete(now, revision, id)
		f.telem.Log.Info("target not listed any more", "target", id, "revision", revision)
	})
}

// InvalidTarget implements Sink.
func (f *Front) InvalidTarget(revision uint64, id string, err error) {
	f.change(func(now time.Duration, s *state) {
		s.list.PutInvalid(now, revision, id)
		f.telem.Log.Info("target entry unreadable", "target", id, "revision", revision, "error", err.Error())
	})
}

// ConfirmTargets implements Sink.
func (f *Front) ConfirmTargets() {
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

// Disconnected implements Sink.
func (f *Front) Disconnected(err error) {
	f.loop.Post(func(now time.Duration, s *state) {
		s.list.PlatformDown()
		if s.lost {
			return
		}
		s.lost = true
		f.meter.lost.Inc(1)
		f.telem.Log.Info("dependency lost", "dependency", "platform", "error", err.Error(),
			"plan", s.plan.Revision(), "list-age-ms", s.list.Age(now).Milliseconds())
	})
}

// PrimaryWatcher implements Sink.
func (f *Front) PrimaryWatcher() bool { return f.lookout.Load() }
