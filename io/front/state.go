package front

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"kingcupstand/core/drain"
	"kingcupstand/core/event"
	"kingcupstand/core/length"
	"kingcupstand/core/origin"
	"kingcupstand/core/peers"
	"kingcupstand/core/plan"
	"kingcupstand/core/poison"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/core/retry"
	"kingcupstand/core/roster"
	"kingcupstand/core/sched"
	"kingcupstand/core/spent"
	"kingcupstand/io/actor"
	"kingcupstand/schema/spec"
)

// state is what the control loop owns: everything that is built from heartbeats and
// from the platform's documents. Only functions posted to the loop may use it. Times are
// those of the loop's clock.
type state struct {
	plan   *plan.Plan
	pool   *pool.Pool
	roster *roster.List
	quota  *quota.Limiter
	budget *retry.Budget
	peers  *peers.Table
	sched  *sched.Scheduler[*pending]
	random *rand.Rand
	shares sharing
	// disconnected is true while the platform does not answer.
	disconnected bool
	spent        *spent.Estimator
	length       *length.Estimator
	steps        *event.Steps
	origins      *origin.Table
	poison       *poison.Table
	// drains are the operator's requests to drain data centres.
	drains drain.Set
	// warming holds the targets that are logged as warming up, and unitsAssigned is when units of
	// their allowances were last assigned to fronts.
	warming       map[string]bool
	unitsAssigned time.Duration
	// ticked is when the warm-up was last updated, and resumed when this front has started or was
	// last suspended.
	ticked, resumed time.Duration
	// crashChecks are the checks under way whether targets have crashed, by target.
	crashChecks map[string]*crashCheck
	// slotsAssigned is when slots were last assigned to fronts.
	slotsAssigned time.Duration
	// creditsRefilled is when the credits for sends beyond own slots were last refilled.
	creditsRefilled time.Duration
	// loadReported is when the load was last logged.
	loadReported time.Duration
	// reachable holds the peers that are logged as reachable.
	reachable map[string]bool
	// sequence is the number of the last heartbeat.
	sequence uint64
	// newerSince is when a peer was first seen to have a newer document; 0 if none has one.
	newerSince time.Duration
	// changed is true if something has changed since the last heartbeat.
	changed bool
	// heartbeatSent is when the last heartbeat was sent, and nearSent when the last one was sent to
	// the fronts of this data centre.
	heartbeatSent, nearSent time.Duration
	// traffic counts the heartbeats sent.
	traffic traffic
	// running are the streams in progress, which are reported to keepers beside targets, and records
	// is the reading of what these keep.
	running *origin.Running
	records recordReading
	// nearRefilled is creditsRefilled for near targets, if the fleet is regional.
	nearRefilled time.Duration
	// listChanged is true if the target list has changed since it was last applied, at listApplied.
	listChanged bool
	listApplied time.Duration
	// listed is the number of targets as of then.
	listed int
	// reapplyAt is when the next missing target expires.
	reapplyAt time.Duration
	// listedSince is when the first list with targets was known; 0 if none is. runsRound is the
	// number of rounds in which what they run was read.
	listedSince time.Duration
	runsRound   int
	// position is the position up to which the platform's changes have arrived.
	position Position
	// listConfirmed is when a live peer's platform connection last confirmed the target list
	// that this front holds.
	listConfirmed time.Duration
}

// hasPeers reports whether there may be other fronts.
func hasPeers(s *spec.Front) bool {
	return slices.ContainsFunc(s.Seeds, func(a string) bool { return a != s.Peer })
}

// allowanceWindow returns the window over which allowances hold.
func allowanceWindow(s *spec.Front) time.Duration {
	if s.AllowanceWindowMs == 0 {
		return quota.DefaultWindow
	}
	return time.Duration(s.AllowanceWindowMs) * time.Millisecond
}

func newState(s *spec.Front, r *rand.Rand) *state {
	p := pool.New(s.DataCentre, r)
	return &state{
		plan:   plan.Empty(),
		pool:   p,
		sched:  sched.New[*pending](p, r),
		roster: roster.New(),
		quota:  quota.New(pool.Hash, allowanceWindow(s), hasPeers(s), r),
		budget: retry.New(retry.Limits{
			Ratio:  s.RetryRatio,
			Slack:  s.RetrySlack,
			Window: time.Duration(s.RetryWindowMs) * time.Millisecond,
		}),
		peers:     peers.New(s.Peer, p.DataCentre(), s.Seeds),
		random:    r,
		shares:    newSharing(s),
		spent:     spent.New(),
		length:    length.New(),
		steps:     event.NewSteps(),
		drains:    drain.New(),
		origins:   origin.New(),
		running:   origin.NewRunning(),
		poison:    poison.New(),
		reachable: map[string]bool{},

		records:     recordReading{read: map[string]bool{}},
		crashChecks: map[string]*crashCheck{},
	}
}

// fromPlatform is the source of a document in the log; others are addresses of peers.
const fromPlatform = "platform"

// SetPlan implements Sink.
func (f *Front) SetPlan(d *spec.Plan) bool { return f.acceptPlan(fromPlatform, d) }

// acceptPlan makes a plan the current one if it is newer. It reports false if the plan is not
// valid. From names its source for the log.
func (f *Front) acceptPlan(from string, d *spec.Plan) bool {
	if d.Revision > 0 && d.Revision <= f.plan.Load().Revision() {
		return true
	}
	p, err := plan.New(d)
	if err != nil {
		f.telem.Log.Error(err, "plan refused", "revision", d.Revision, "from", from)
		return false
	}
	actor.Ask(f.loop, func(now time.Duration, s *state) bool {
		if p.Revision() <= s.plan.Revision() {
			return false
		}
		old := s.plan.Revision()
		if p.MovesRoutes(s.plan) {
			s.origins.Interrupt(now)
		}
		s.plan = p
		s.quota.Configure(now, p.Workspaces())
		f.configureShares(now, s, p)
		s.origins.SetKeep(2 * p.LongestStream())
		f.plan.Store(p)
		f.applyTargets(now, s)
		s.changed = true
		f.meter.revision.Update(float64(p.Revision()))
		f.telem.Log.Info("plan in force", "revision", p.Revision(), "replaces", old, "from", from,
			"routes", len(d.Routes), "workspaces", len(d.Workspaces))
		return true
	})
	return true
}

// applyTargets passes the targets that the list holds to the pool, and schedules the
// next expiry of a missing target.
func (f *Front) applyTargets(now time.Duration, s *state) {
	s.listChanged, s.listApplied = false, now
	f.logOutdated(s)
	var ts []pool.Target
	versions := map[string][]string{}
	for _, r := range s.roster.Replicas(now) {
		t := pool.Target{
			ID:         r.Id,
			Address:    r.Address,
			Service:    r.Service,
			DataCentre: r.DataCentre,
			Slots:      int(r.Slots),
			Leaving:    r.Leaving,
			Born:       r.Born,
			Version:    r.Version,
			Warming:    time.Duration(r.WarmingMs) * time.Millisecond,
		}
		if v := s.plan.Service(r.Service); v != nil {
			t.Engine = v.Engine
		}
		ts = append(ts, t)
		versions[r.Service] = append(versions[r.Service], r.Version)
	}
	s.pool.SetWarmTerms(f.warmTerms(s.plan))
	s.pool.SetTargets(ts)
	s.pool.ApplyListedWarmUp(now)
	f.updateWarming(now, s)
	f.withholdTargets(now, s)
	f.rejectDrained(now, s)
	s.origins.SetVersions(now, versions)
	s.origins.DropServices(s.plan.Uses)
	s.pool.DropServices(s.plan.Uses)
	for _, name := range s.sched.DropServices(s.plan.Uses) {
		f.meter.recordLoad(name, pool.Load{}, 0, 0)
	}
	if len(ts) > 0 && s.listedSince == 0 {
		s.listedSince = now
	}
	f.assignSlots(now, s)
	s.listed = len(ts)
	f.meter.targets.Update(float64(len(ts)))
	f.dispatchAll(now, s)
	if at, ok := s.roster.NextExpiry(); ok && at != s.reapplyAt {
		s.reapplyAt = at
		time.AfterFunc(at-now+time.Millisecond, f.reapplyTargets)
	}
}

// reapplyTargets applies the target list again when the grace time of a missing target
// has ended.
func (f *Front) reapplyTargets() {
	f.loop.Post(func(now time.Duration, s *state) { f.applyTargets(now, s) })
}

const (
	// shortList is the number of targets up to which each change of the list is applied at once.
	shortList = 200
	// listInterval is the shortest time between two applications of changes of a longer list, but for
	// one when the platform confirms the list.
	listInterval = 50 * time.Millisecond
)

// updateList changes the target list on the control loop. The change is applied at once, or if the list
// is long and another change was applied less than listInterval ago, with the next confirmation or tick:
// applying costs time for each target, and changes arrive by the thousand when a large fleet starts.
func (f *Front) updateList(c func(now time.Duration, s *state)) {
	f.loop.Post(func(now time.Duration, s *state) {
		f.reconnected(now, s)
		c(now, s)
		f.listHasChanged(now, s)
	})
}

// listHasChanged applies a change of the list, if it is time to.
func (f *Front) listHasChanged(now time.Duration, s *state) {
	s.listChanged = true
	if s.listed <= shortList || now-s.listApplied >= listInterval {
		f.applyChanges(now, s)
	}
}

// applyChanges applies the changes of the target list that are not applied yet.
func (f *Front) applyChanges(now time.Duration, s *state) {
	if s.listChanged {
		f.applyTargets(now, s)
	}
}

// errOwnAddress reports an entry whose address is one of this front's own.
var errOwnAddress = errors.New("address of this front")

// checkEntry returns an error if requests can't be sent to the target of an entry. Those that a front
// sent to itself would come back as callers' requests.
func (f *Front) checkEntry(r *spec.Replica) error {
	if err := roster.Check(r); err != nil {
		return err
	}
	s := f.settings
	if slices.ContainsFunc([]string{s.Callers, s.Readiness, s.Metrics, s.Control, s.Peer}, func(o string) bool { return sameAddress(o, r.Address) }) {
		return errOwnAddress
	}
	return nil
}

// sameAddress reports whether two addresses, as IP:port, are the same.
func sameAddress(a, b string) bool {
	p, err1 := netip.ParseAddrPort(a)
	q, err2 := netip.ParseAddrPort(b)
	return err1 == nil && err2 == nil && p.Port() == q.Port() && p.Addr().Unmap() == q.Addr().Unmap()
}

// dropInvalid removes the entries of a list that can't be used, and returns their IDs. From names the
// list's source for the log.
func (f *Front) dropInvalid(d *spec.Directory, from string) (ids []string) {
	d.Replicas = slices.DeleteFunc(d.Replicas, func(r *spec.Replica) bool {
		err := f.checkEntry(r)
		if err != nil {
			ids = append(ids, r.Id)
			f.logInvalid(d.Revision, r.Id, err, from)
		}
		return err != nil
	})
	return ids
}

// logInvalid logs an entry that can't be used. There may be many of them.
func (f *Front) logInvalid(revision uint64, id string, err error, from string) {
	f.log("entry", "target entry unreadable", "target", id[:min(len(id), roster.MaxName)], "revision", revision, "error", err.Error(), "from", from)
}

// ReplaceTargets implements Sink.
func (f *Front) ReplaceTargets(d *spec.Directory) {
	invalid := f.dropInvalid(d, fromPlatform)
	f.updateList(func(now time.Duration, s *state) {
		s.roster.ApplySnapshot(now, d)
		for _, id := range invalid {
			s.roster.PutInvalid(now, d.Revision, id)
		}
		s.origins.Interrupt(now) // changes before the snapshot may have been missed
		f.telem.Log.Info("target list read", "revision", d.Revision, "targets", len(d.Replicas))
		f.applyTargets(now, s)
	})
}

// PutTarget implements Sink.
func (f *Front) PutTarget(revision uint64, r *spec.Replica) {
	if err := f.checkEntry(r); err != nil {
		f.InvalidTarget(revision, r.Id, err)
		return
	}
	f.updateList(func(now time.Duration, s *state) {
		s.roster.Put(now, revision, r)
		s.origins.ObserveVersion(r.Service, r.Version) // it may be gone before the list is applied
		f.log("listed", "target listed", "target", r.Id, "service", r.Service, "address", r.Address,
			"leaving", r.Leaving, "born", r.Born, "sequence", r.Sequence, "version", r.Version, "revision", revision)
	})
}

// logOutdated logs the entries that a store restored from an older copy has listed again.
func (f *Front) logOutdated(s *state) {
	for _, r := range s.roster.TakeOutdated() {
		f.meter.outdated.Inc(1)
		f.log("outdated", "outdated target entry not applied", "target", r.Id, "service", r.Service, "address", r.Address,
			"leaving", r.Leaving, "born", r.Born, "sequence", r.Sequence, "version", r.Version)
	}
}

// RemoveTarget implements Sink.
func (f *Front) RemoveTarget(revision uint64, id string) {
	f.updateList(func(now time.Duration, s *state) {
		s.roster.Delete(now, revision, id)
		f.log("unlisted", "target not listed any more", "target", id, "revision", revision)
	})
}

// InvalidTarget implements Sink. The entry of a target that isn't known changes nothing: there may be many
// of them, and applying the list for each would keep the control loop busy for long.
func (f *Front) InvalidTarget(revision uint64, id string, err error) {
	f.loop.Post(func(now time.Duration, s *state) {
		f.reconnected(now, s)
		f.logInvalid(revision, id, err, fromPlatform)
		if s.roster.PutInvalid(now, revision, id) {
			f.listHasChanged(now, s)
		}
	})
}

// ConfirmTargets implements Sink.
func (f *Front) ConfirmTargets(at Position) {
	f.loop.Post(func(now time.Duration, s *state) {
		f.reconnected(now, s)
		s.roster.Confirm(now)
		s.listChanged = s.listChanged || s.roster.DoubtsDue()
		f.applyChanges(now, s)
		s.position = at
	})
}

// PlansSkipped implements Sink. A route may have moved to another service and back.
func (f *Front) PlansSkipped() {
	f.loop.Post(func(now time.Duration, s *state) { s.origins.Interrupt(now) })
}

// reconnected notes that the platform has answered.
func (f *Front) reconnected(now time.Duration, s *state) {
	if !s.disconnected {
		return
	}
	s.disconnected = false
	s.listChanged = true // targets that were missing meanwhile expire from now on
	f.telem.Log.Info("dependency regained", "dependency", "platform", "plan", s.plan.Revision(), "list-age-ms", s.roster.Age(now).Milliseconds())
}

// Disconnected implements Sink.
func (f *Front) Disconnected(err error) {
	f.loop.Post(func(now time.Duration, s *state) {
		s.roster.PlatformDown()
		if s.disconnected {
			return
		}
		s.disconnected = true
		f.meter.disconnects.Inc(1)
		f.telem.Log.Info("dependency lost", "dependency", "platform", "error", err.Error(),
			"plan", s.plan.Revision(), "list-age-ms", s.roster.Age(now).Milliseconds())
	})
}

// PrimaryWatcher implements Sink.
func (f *Front) PrimaryWatcher() bool { return f.primaryWatcher.Load() }
