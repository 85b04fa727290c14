package front

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/peers"
	"kingcupstand/core/pool"
	"kingcupstand/core/queue"
	"kingcupstand/core/quota"
	"kingcupstand/core/roster"
	"kingcupstand/core/sched"
	"kingcupstand/io/actor"
	"kingcupstand/io/gossip"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// Intervals of gossip and of periodic work.
const (
	// minHeartbeatInterval, plus intervalPerPeer for each front, is the shortest time
	// between two heartbeats. At a single target, a slot is released about once in that
	// time.
	minHeartbeatInterval = 50 * time.Millisecond
	// intervalPerPeer lengthens the interval with each peer, so that the cost of
	// gossip for one front doesn't grow with the number of fronts.
	intervalPerPeer = 3 * time.Millisecond
	// maxHeartbeatInterval is the longest time between two heartbeats.
	maxHeartbeatInterval = 250 * time.Millisecond
	// loadReportInterval is how often the load of each service is logged.
	loadReportInterval = time.Second
	// newPeerHeartbeats is how many heartbeats a front sends in its first seconds. A
	// peer that has sent no more has just started, so all of its usage is charged here.
	newPeerHeartbeats = 20
	// primaryWatchers is how many fronts watch the platform with the short interval; the
	// others get changes from them by gossip. There are several because a network
	// partition may cut some of them off.
	primaryWatchers = 8
	// assignInterval is how often the targets' slots are assigned to fronts anew.
	assignInterval = 500 * time.Millisecond
	// fetchDelay is how long a front waits to get a newer document from the platform
	// itself before it fetches the document from a peer.
	fetchDelay = 200 * time.Millisecond
)

// runGossip calls tick every minHeartbeatInterval until ctx ends.
func (f *Front) runGossip(ctx context.Context) {
	t := time.NewTicker(minHeartbeatInterval)
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

// tick does the periodic work that is due: it expires peers, updates what depends
// on the number of fronts, dispatches queued requests and sends a heartbeat.
func (f *Front) tick(now time.Duration, s *state) {
	for _, a := range s.peers.Expire(now) {
		if s.reachable[a] {
			delete(s.reachable, a)
			s.pool.RemovePeer(a)
			s.sched.RemovePeer(a)
			s.records.restart(now)
			f.telem.Log.Info("dependency lost", "dependency", "peer", "peer", a)
		}
	}
	f.applyChanges(now, s)
	s.checkList(now)
	f.suspectsChanged(s, s.poison.Check(now), "")
	live, all := s.peers.Count(now)
	s.quota.SetFronts(now, live, all)
	s.budget.SetFronts(all)
	f.meter.peers.Update(float64(live))
	s.sched.SetFronts(live, all)
	f.updateShares(now, s)
	f.primaryWatcher.Store(s.peers.Position(now) < primaryWatchers)
	near := f.refillCredits(now, s, live, all)
	if now-s.slotsAssigned >= assignInterval {
		f.assignSlots(now, s)
	}
	f.updateWarming(now, s)
	f.readRunsDue(now, s)
	f.readRecordsDue(now, s)
	f.dispatchAll(now, s)
	f.fetchNewer(now, s)
	if now-s.loadReported >= loadReportInterval {
		f.reportLoad(now, s, live, len(near), all)
	}
	f.sendDue(now, s, near, all)
}

// heartbeatInterval returns the shortest time between two heartbeats that a number of fronts
// exchange.
func heartbeatInterval(fronts int) time.Duration {
	return minHeartbeatInterval + time.Duration(fronts)*intervalPerPeer
}

// refillCredits refills the credits for other fronts' slots if a round of heartbeats has passed.
// It returns the peers of this data centre, which exchange heartbeats more often, or nil if the
// fleet is small enough for all to do so.
func (f *Front) refillCredits(now time.Duration, s *state, live, all int) (near []string) {
	regional := s.peers.Regional(now)
	s.sched.SetRegional(regional)
	fronts, p := live, heartbeatInterval(all)
	if regional {
		near = s.peers.Near(now)
		fronts = len(near) + 1
		if n := heartbeatInterval(fronts); now-s.nearRefilled >= n {
			s.nearRefilled = now
			s.pool.RefillCredits(now, fronts)
		}
	}
	if now-s.creditsRefilled >= p {
		s.creditsRefilled = now
		if regional {
			s.pool.RefillFarCredits(now, live)
		} else {
			s.pool.RefillCredits(now, fronts)
		}
	}
	return near
}

// sendDue sends the heartbeats that are due. Peers near this front, if any, get heartbeats of
// their own. The keepers of streams that have begun get the next one in any case; in a fleet that a
// heartbeat doesn't reach as a whole, they get a message with these streams alone.
func (f *Front) sendDue(now time.Duration, s *state, near []string, all int) {
	due := func(sent time.Duration, fronts int) bool {
		return now-sent >= maxHeartbeatInterval || s.changed && now-sent >= heartbeatInterval(fronts)
	}
	nearDue, farDue := near != nil && due(s.nearSent, len(near)+1), due(s.heartbeatSent, all)
	if !nearDue && !farDue {
		return
	}
	streams := f.reportOrigins(now, s)
	keepers := map[string]bool{}
	if near == nil {
		for p := range streams {
			keepers[p] = true
		}
	}
	var to, far []string
	if nearDue {
		s.nearSent = now
		to = s.peers.NearRecipients(s.random, near, keepers)
	}
	if farDue {
		s.heartbeatSent = now
		far = s.peers.Recipients(s.random, near, keepers)
	}
	m := f.heartbeat(now, s)
	f.send(m, append(to, far...))
	f.reportRunning(now, s)
	s.traffic.count(m, len(to), len(far))
	if near != nil {
		f.sendStreams(s, streams, near)
		return
	}
	if len(keepers) == 0 {
		return
	}
	m.Streams = merged(streams)
	together := proto.Size(m) <= maxDatagram
	if !together {
		m.Streams = nil
	}
	f.send(m, slices.Collect(maps.Keys(keepers)))
	s.traffic.count(m, 0, len(keepers))
	if !together {
		f.sendStreams(s, streams, near)
	}
}

// sendStreams sends each keeper the streams that it is to know of.
func (f *Front) sendStreams(s *state, streams map[string][]*wire.StreamOrigin, near []string) {
	for p, ms := range streams {
		m := &wire.Beat{Peer: f.settings.Peer, Incarnation: f.incarnation, Sequence: s.sequence, StreamsOnly: true, Streams: ms}
		f.send(m, []string{p})
		if slices.Contains(near, p) {
			s.traffic.count(m, 1, 0)
		} else {
			s.traffic.count(m, 0, 1)
		}
	}
}

// reportLoad logs and exports this front's view of the load of each service.
func (f *Front) reportLoad(now time.Duration, s *state, live, near, all int) {
	s.loadReported = now
	f.reportShares(s)
	f.withholdTargets(now, s) // pauses end without an event
	opened, reused := f.dialer.Counts()
	f.meter.opened.Update(float64(opened))
	f.meter.reused.Update(float64(reused))
	f.meter.recordProcess(now, s, f.intake.Account())
	f.reportTraffic(s)
	for _, name := range s.sched.Services() {
		f.reportLimits(s, name)
		l := s.pool.Load(now, name)
		f.meter.recordLoad(name, l, s.sched.Waiting(name), s.budget.Remaining(now, name))
		f.telem.Log.Info("load", "service", name, "targets", l.Targets, "usable", l.Usable, "slots", l.Slots, "running", l.Running,
			"own", l.OwnRunning, "own-slots", l.OwnSlots, "waiting", s.sched.Waiting(name), "demand", int(s.sched.Demand(now, name)),
			"retries-left", int(s.budget.Remaining(now, name)), "fronts-heard", live, "near", near, "fronts", all,
			"plan", s.plan.Revision(), "list-age-ms", s.roster.Age(now).Milliseconds())
	}
}

// assignSlots recomputes which slots of each target are this front's own.
func (f *Front) assignSlots(now time.Duration, s *state) {
	s.slotsAssigned = now
	s.sched.AssignSlots(now, f.settings.Peer)
}

// heartbeat returns the next heartbeat.
func (f *Front) heartbeat(now time.Duration, s *state) *wire.Beat {
	s.changed = false
	s.sequence++
	m := &wire.Beat{
		Peer:           f.settings.Peer,
		Incarnation:    f.incarnation,
		Sequence:       s.sequence,
		Plan:           s.plan.Revision(),
		Directory:      s.roster.Revision(),
		DirectoryAgeMs: milliseconds(s.roster.Age(now)),
		DataCentre:     s.pool.DataCentre(),
		Leaving:        f.stopping.Load(),
		Peers:          s.peers.Sample(now, s.random),
		Sightings:      encodeSightings(s.peers.Sightings(now, s.random)),
		Drains:         encodeDrains(s.drains),
		Warming:        encodeWarming(s.pool.WarmingReports(now)),
	}
	for _, u := range s.pool.Uses(now) {
		m.Uses = append(m.Uses, &wire.TargetUse{
			Target: u.Target, Running: uint32(min(u.Running, gossip.MaxCount)), PromptTokens: uint32(min(u.PromptTokens, gossip.MaxTokens)),
			Failing: u.Failing, Recent: uint32(min(u.Recent, gossip.MaxCount)),
		})
	}
	for _, r := range s.pool.LimitReports(now) {
		m.Limits = append(m.Limits, encodeLimit(r))
	}
	for _, r := range s.poison.Reports(now) {
		m.Suspects = append(m.Suspects, encodeSuspect(r))
	}
	for h, u := range s.quota.Uses(now) {
		m.Workspaces = append(m.Workspaces, &wire.WorkspaceUse{Workspace: h, Used: u.Used, Level: u.Level})
	}
	d := s.sched.Report(now)
	for h, v := range d.Demand {
		m.Demands = append(m.Demands, &wire.ServiceDemand{Service: h, PerSecond: v})
	}
	for k, n := range d.Waiting {
		m.Waits = append(m.Waits, &wire.RankWait{
			Service: k.Service, Rank: uint32(k.Priority.TierRank), RouteRank: uint32(k.Priority.RouteRank), Late: k.Priority.Late, Count: uint32(min(n, gossip.MaxCount)),
			OverShare: k.Priority.OverShare,
		})
	}
	return m
}

// receive applies a peer's heartbeat unless it is a duplicate or out of order.
func (f *Front) receive(m *wire.Beat) {
	f.loop.Post(func(now time.Duration, s *state) {
		if m.StreamsOnly {
			f.mergeOrigins(now, s, m.Streams)
			return
		}
		if !s.peers.Observe(now, peers.Heartbeat{
			Peer: m.Peer, Incarnation: m.Incarnation, Sequence: m.Sequence,
			Plan: m.Plan, Directory: m.Directory, DataCentre: m.DataCentre, Leaving: m.Leaving, Peers: m.Peers,
		}) {
			return
		}
		s.peers.ObserveSightings(now, decodeSightings(m.Sightings))
		if !s.reachable[m.Peer] {
			s.reachable[m.Peer] = true
			f.telem.Log.Info("dependency regained", "dependency", "peer", "peer", m.Peer, "incarnation", m.Incarnation, "plan", m.Plan)
		}
		f.applyHeartbeat(now, s, m)
		f.join.Do(func() { close(f.joined) })
	})
}

// applyHeartbeat records a peer's requests in flight, usage of allowances, queue lengths
// and demand, and acts on them.
func (f *Front) applyHeartbeat(now time.Duration, s *state, m *wire.Beat) {
	us := make([]pool.Use, 0, len(m.Uses))
	for _, u := range m.Uses {
		us = append(us, pool.Use{Target: u.Target, Running: int(u.Running), PromptTokens: int(u.PromptTokens), Failing: u.Failing, Recent: int(u.Recent)})
	}
	s.pool.SetPeer(m.Peer, us)
	f.mergeLimits(now, s, m.Peer, m.Limits)
	f.mergeDrains(now, s, m.Peer, m.Drains)
	s.pool.MergeWarming(now, decodeWarming(m.Warming))
	f.mergeOrigins(now, s, m.Streams)
	f.mergeSuspects(now, s, m.Peer, m.Suspects)
	s.confirmList(now, m)
	ws := quota.Uses{}
	for _, w := range m.Workspaces {
		ws[w.Workspace] = quota.Use{Used: w.Used, Level: w.Level}
	}
	r := quota.Report{
		Incarnation: m.Incarnation, Started: m.Sequence <= newPeerHeartbeats, Continuous: s.peers.Continuous(m.Peer), Uses: ws,
	}
	s.quota.Observe(now, m.Peer, r)
	f.observeShares(now, s, m.Peer, r)
	d := sched.Report{DataCentre: m.DataCentre, Waiting: map[sched.WaitKey]int{}, Demand: map[uint32]float64{}}
	for _, w := range m.Waits {
		p := queue.Priority{TierRank: int(w.Rank), Late: w.Late, RouteRank: int(w.RouteRank), OverShare: w.OverShare}
		d.Waiting[sched.WaitKey{Service: w.Service, Priority: p}] = int(w.Count)
	}
	for _, v := range m.Demands {
		d.Demand[v.Service] = v.PerSecond
	}
	s.sched.SetPeer(m.Peer, d)
	f.dispatchAll(now, s)
	f.fetchNewer(now, s)
}

// fetchNewer fetches documents from a peer that has newer ones, if they haven't
// come from the platform within fetchDelay. A front without a plan, or without a
// connection to the platform, doesn't wait.
func (f *Front) fetchNewer(now time.Duration, s *state) {
	a, ok := s.peers.Newer(now, s.plan.Revision(), s.roster.Revision(), s.random)
	if !ok {
		s.newerSince = 0
		return
	}
	if s.newerSince == 0 {
		s.newerSince = now
	}
	p := fetchDelay
	if s.disconnected || s.plan.Revision() == 0 {
		p = 0
	}
	if now-s.newerSince < p || !f.fetching.CompareAndSwap(false, true) {
		return
	}
	go f.runFetch(a, &wire.FetchRequest{Plan: s.plan.Revision(), Directory: s.roster.Revision()})
}

// runFetch fetches a peer's newer documents and applies them. At most one fetch
// runs at a time.
func (f *Front) runFetch(peer string, q *wire.FetchRequest) {
	defer f.fetching.Store(false)
	r, err := f.gossip.Fetch(context.Background(), peer, q)
	if err != nil {
		f.telem.Log.Info("fetch of documents from peer failed", "peer", peer, "error", err.Error())
		return
	}
	if len(r.Plan) > 0 {
		d := &spec.Plan{}
		if err := proto.Unmarshal(r.Plan, d); err != nil {
			f.telem.Log.Error(err, "cannot decode peer's plan", "peer", peer)
		} else {
			f.acceptPlan(peer, d)
		}
	}
	if len(r.Directory) > 0 {
		f.acceptDirectory(peer, r)
	}
}

// acceptDirectory applies a peer's target list if it is newer.
func (f *Front) acceptDirectory(peer string, r *wire.FetchReply) {
	d := &spec.Directory{}
	if err := proto.Unmarshal(r.Directory, d); err != nil {
		f.telem.Log.Error(err, "cannot decode peer's target list", "peer", peer)
		return
	}
	if err := roster.CheckList(d); err != nil {
		f.telem.Log.Error(err, "cannot decode peer's target list", "peer", peer)
		return
	}
	f.dropInvalid(d, peer)
	age := time.Duration(r.DirectoryAgeMs) * time.Millisecond
	f.loop.Post(func(now time.Duration, s *state) {
		if s.roster.AdoptPeer(now, age, d) {
			f.telem.Log.Info("target list read", "revision", d.Revision, "targets", len(d.Replicas), "from", peer, "age-ms", r.DirectoryAgeMs)
			f.applyTargets(now, s)
		}
	})
}

// Fetch implements wire.DRPCFrontServer. It returns the documents that are newer
// than the revisions in the request.
func (f *Front) Fetch(_ context.Context, q *wire.FetchRequest) (*wire.FetchReply, error) {
	return actor.Ask(f.loop, func(now time.Duration, s *state) *wire.FetchReply {
		r := &wire.FetchReply{DirectoryAgeMs: milliseconds(s.roster.Age(now))}
		if s.plan.Revision() > q.Plan {
			r.Plan = s.plan.Encoded()
		}
		if s.roster.Revision() > q.Directory {
			b, err := proto.Marshal(s.roster.Directory(now))
			if err != nil {
				f.telem.Log.Error(err, "cannot encode target list")
			}
			r.Directory = b
		}
		return r
	}), nil
}
