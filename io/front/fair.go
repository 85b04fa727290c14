package front

import (
	"math"
	"strconv"
	"time"

	"kingcupstand/core/fair"
	"kingcupstand/core/plan"
	"kingcupstand/core/pool"
	"kingcupstand/core/quota"
	"kingcupstand/core/sched"
	"kingcupstand/schema/spec"
)

// otherTiers is the rank that logs and metrics give the tiers without ranked workspaces.
const otherTiers = "other"

// sharing is what the control loop knows of the workspaces' shares of the slots.
type sharing struct {
	table *fair.Table
	// on is true if the settings and the plan enable shares, and current is the last result.
	on      bool
	current fair.Shares
	// queued counts the requests that were queued while their workspace was over its share, by
	// its name, since the last line of the log about it.
	queued map[string]int
}

func newSharing(s *spec.Front) sharing {
	return sharing{table: fair.New(pool.Hash, allowanceWindow(s)), queued: map[string]int{}}
}

// configureShares applies a plan's workspaces to the shares.
func (f *Front) configureShares(now time.Duration, s *state, p *plan.Plan) {
	if !f.settings.FairShares {
		return
	}
	s.shares.table.Configure(p.Workspaces())
	on := s.shares.table.Enabled()
	if on != s.shares.on {
		f.telem.Log.Info("fair shares", "enabled", on, "plan", p.Revision())
	}
	s.shares.on = on
	s.quota.CountAll(on)
	f.updateShares(now, s)
}

// observeShares records the use that a peer's heartbeat reports.
func (f *Front) observeShares(now time.Duration, s *state, peer string, r quota.Report) {
	if s.shares.on {
		s.shares.table.Observe(now, peer, r)
	}
}

// updateShares determines which workspaces are over their share, and orders the queues by it.
func (f *Front) updateShares(now time.Duration, s *state) {
	if s.shares.on {
		s.shares.table.Observe(now, f.settings.Peer, quota.Report{Incarnation: f.incarnation, Uses: s.quota.Uses(now)})
	}
	s.shares.current = s.shares.table.Shares(now)
	s.sched.SetShares(s.shares.current)
}

// workspaceHash identifies the workspace in the shares; it is 0 without one.
func (q *request) workspaceHash() uint32 {
	if q.workspace == nil {
		return 0
	}
	return pool.Hash(q.workspace.Name)
}

// countOverShare counts a request that is queued while its workspace is over its share.
func (q *request) countOverShare(s *state, r sched.Request) {
	if over, _ := s.shares.current.Standing(r.TierRank, r.Workspace); !over {
		return
	}
	q.summary.overShare = true
	s.shares.queued[q.workspace.Name]++
	q.front.telem.Scope.Tagged(map[string]string{"workspace": q.workspace.Name}).Counter("requests_over_share").Inc(1)
}

// reportShares exports the levels of the workspaces, and logs those over their share whose
// requests were queued since the last call.
func (f *Front) reportShares(s *state) {
	if !s.shares.on {
		return
	}
	f.reportTier(s, otherTiers, s.shares.current.Others())
	for _, r := range s.shares.current.Ranks() {
		f.reportTier(s, strconv.Itoa(r), s.shares.current.Tier(r))
	}
	clear(s.shares.queued)
	for _, n := range s.sched.Services() {
		f.telem.Scope.Tagged(map[string]string{"service": n}).Gauge("service_waiting_over_share").Update(float64(s.sched.WaitingOverShare(n)))
	}
}

// reportTier is reportShares for the tier of a rank.
func (f *Front) reportTier(s *state, rank string, t fair.Tier) {
	if len(t.Workspaces) == 0 {
		return
	}
	over := 0
	for _, w := range t.Workspaces {
		m := f.telem.Scope.Tagged(map[string]string{"rank": rank, "workspace": w.Name})
		m.Gauge("workspace_share").Update(w.Ratio)
		if !w.Over {
			continue
		}
		over++
		if n := s.shares.queued[w.Name]; n > 0 {
			f.log("share", "workspace over its share", "workspace", w.Name, "rank", rank, "queued", n,
				"use", int(w.Use), "times-others", math.Round(100*w.Ratio)/100, "competing", t.Competing)
		}
	}
	f.telem.Scope.Tagged(map[string]string{"rank": rank}).Gauge("workspaces_over_share").Update(float64(over))
}
