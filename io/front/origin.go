package front

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/core/origin"
	"kingcupstand/core/plan"
	"kingcupstand/core/share"
	"kingcupstand/io/actor"
	"kingcupstand/schema/wire"
)

const (
	// keepers is how many peers are told what began a stream, and asked when it is resumed.
	keepers = 4
	// originRetry is the Retry-After if it is not known what began a stream, at a front that has
	// just started: fronts and targets that know it are still to be asked. Later the answer changes
	// only if a front that was cut off is reached again, and the Retry-After is lateOriginRetry.
	originRetry     = 2 * time.Second
	lateOriginRetry = 5 * time.Second
	// versionRetry is the Retry-After if no target of the version is left. A target that has
	// crashed starts again with its version within a few seconds.
	versionRetry = 2 * time.Second
	// begunSlack is added to the time that a resumed stream can have begun ago, for what a
	// request is on its way and for differences between callers' clocks.
	begunSlack = time.Second
)

// resumes reports whether the caller resumes a stream that an earlier request has begun.
func (q *request) resumes() bool {
	return q.route.Kind == plan.Stream && (q.call.FirstAttempt != "" || q.call.LastEventID != "")
}

// findOrigin finds out which service and version the resumed stream began at, as only these
// can go on with it. It returns the status, reason and Retry-After of a refusal if that isn't
// known, or if nothing of that version is left, or status 0.
func (q *request) findOrigin(ctx context.Context) (status int, reason string, retryAfter time.Duration) {
	if !q.resumes() {
		return 0, "", 0
	}
	r := &wire.OriginRequest{}
	if q.call.FirstAttempt != "" {
		r.Stream = origin.ID(q.call.FirstAttempt)
	}
	if len(q.route.Services()) == 1 {
		r.Service = q.service
	}
	if d, ok := q.begunAgo(); ok {
		r.BegunMs = proto.Uint32(milliseconds(d))
	}
	var o origin.Origin
	if o, q.basis = q.front.originOf(ctx, r); q.basis == basisNone {
		return http.StatusServiceUnavailable, "unknown-version", actor.Ask(q.front.loop, func(now time.Duration, s *state) time.Duration {
			if now-s.listedSince < originRetry {
				return originRetry
			}
			return lateOriginRetry
		})
	}
	q.origin = &o
	if !q.route.HasService(o.Service) {
		return http.StatusServiceUnavailable, "service-changed", versionRetry
	}
	q.service = o.Service
	c := q.criteria()
	if !actor.Ask(q.front.loop, func(_ time.Duration, s *state) bool { return s.pool.Admits(c) }) {
		q.summary.detail = "version " + o.Version
		return http.StatusServiceUnavailable, "version-gone", versionRetry
	}
	return 0, "", 0
}

// begunAgo returns how long ago the stream that the caller resumes can have begun at most: callers
// count the time that they will still wait from their first attempt. It reports false if the caller
// doesn't say how long it will wait, or if this front hasn't seen enough callers of the route to
// know for how long they wait in all. That may be longer than the route's timeout.
func (q *request) begunAgo() (time.Duration, bool) {
	if q.call.Timeout <= 0 {
		return 0, false
	}
	var l time.Duration
	ok := actor.Ask(q.front.loop, func(_ time.Duration, s *state) (ok bool) {
		l, ok = s.spent.Limit(q.route.Name)
		return ok
	})
	return max(l, q.route.Timeout, q.call.Timeout) - q.call.Timeout + begunSlack, ok
}

// finding is what a front knows of the origin of a stream.
type finding struct {
	origin.Origin
	// recorded is true if the origin is from a record. Otherwise it is the only version that was
	// listed up to the position at.
	recorded bool
	at       Position
}

// findOrigin returns what this front knows of the origin of a stream: its record, or the only
// version that the stream can have begun at. It returns the zero finding if it knows neither.
func (s *state) findOrigin(now time.Duration, r *wire.OriginRequest) finding {
	if o, ok := s.origins.Find(now, r.Stream); ok && r.Stream != 0 {
		return finding{Origin: o, recorded: true}
	}
	begun := time.Duration(-1)
	if r.BegunMs != nil {
		begun = time.Duration(r.GetBegunMs()) * time.Millisecond
	}
	if v, ok := s.origins.Only(now, r.Service, begun); ok {
		return finding{Origin: origin.Origin{Service: r.Service, Version: v}, at: s.position}
	}
	return finding{}
}

// recordOrigin records what began the stream that is about to be forwarded, or goes on with
// it, if callers may resume it.
func (q *request) recordOrigin(version string) {
	if !q.route.Resumable {
		return
	}
	id, o := origin.ID(q.call.ID), origin.Origin{Service: q.service, Version: version}
	if q.call.FirstAttempt != "" {
		id = origin.ID(q.call.FirstAttempt)
	}
	q.released = func(now time.Duration, s *state) { s.running.End(now, id, o, q.whole) }
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.origins.Add(now, id, o)
		s.changed = true
		q.front.reportBegun(s, id, o)
	})
}

// releaseOrigin notes that the stream is no longer in progress here.
func (q *request) releaseOrigin() {
	if q.released != nil {
		q.front.loop.Post(q.released)
	}
}

// basis is from what the origin of a stream is known.
type basis string

const (
	basisNone     basis = "none"
	basisRecord   basis = "record"
	basisVersions basis = "versions" // the versions that were listed
)

// originOf returns what began a stream, as this front or one of the stream's keepers knows it, and
// from what. The basis is basisNone if none of them is certain.
func (f *Front) originOf(ctx context.Context, r *wire.OriginRequest) (origin.Origin, basis) {
	own := actor.Ask(f.loop, func(now time.Duration, s *state) finding { return s.findOrigin(now, r) })
	if own.recorded {
		return own.Origin, basisRecord
	}
	var only []finding
	for _, g := range append(f.askOrigin(ctx, r), own) {
		if g.recorded {
			return g.Origin, basisRecord
		}
		if g.Version != "" {
			only = append(only, g)
		}
	}
	if len(only) == 0 {
		return origin.Origin{}, basisNone
	}
	// The stream may have begun at a version that none of these fronts knows of yet.
	at, err := f.positions.Ask(ctx)
	if err != nil {
		f.log("position", "platform's position unknown", "error", err.Error())
		return origin.Origin{}, basisNone
	}
	for _, g := range only {
		if g.at.covers(at) {
			return g.Origin, basisVersions
		}
	}
	return origin.Origin{}, basisNone
}

// askOrigin asks the keepers of a stream what began it, all at once. It returns their findings
// as soon as one of them has a record.
func (f *Front) askOrigin(ctx context.Context, r *wire.OriginRequest) []finding {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ps := actor.Ask(f.loop, func(now time.Duration, s *state) []string {
		return share.Nearest(r.Stream, s.peers.Serving(now), keepers)
	})
	found := make(chan finding, len(ps))
	for _, p := range ps {
		go f.runAsk(ctx, p, r, found)
	}
	var gs []finding
	for range ps {
		g := <-found
		gs = append(gs, g)
		if g.recorded {
			break
		}
	}
	return gs
}

// runAsk asks a peer and sends its answer to found, which has room for it: the zero finding if
// the peer doesn't know or can't be asked.
func (f *Front) runAsk(ctx context.Context, peer string, r *wire.OriginRequest, found chan<- finding) {
	a, err := f.gossip.Origin(ctx, peer, r)
	if err != nil && ctx.Err() == nil {
		f.log("origin", "fetch of a stream's origin from peer failed", "peer", peer, "error", err.Error())
	}
	found <- finding{
		Origin:   origin.Origin{Service: a.GetService(), Version: a.GetVersion()},
		recorded: a.GetRecorded(),
		at:       Position{Era: a.GetEra(), Revision: a.GetRevision()},
	}
}

// Origin implements wire.DRPCFrontServer.
func (f *Front) Origin(_ context.Context, r *wire.OriginRequest) (*wire.OriginReply, error) {
	g := actor.Ask(f.loop, func(now time.Duration, s *state) finding { return s.findOrigin(now, r) })
	return &wire.OriginReply{Service: g.Service, Version: g.Version, Recorded: g.recorded, Era: g.at.Era, Revision: g.at.Revision}, nil
}

// reportOrigins returns the streams that are still to be reported, by the peers that keep them.
func (f *Front) reportOrigins(now time.Duration, s *state) map[string][]*wire.StreamOrigin {
	to := map[string][]*wire.StreamOrigin{}
	ps := s.peers.Serving(now)
	for _, v := range s.origins.Unreported() {
		for _, p := range share.Nearest(v.ID, ps, keepers) {
			to[p] = addStream(to[p], v)
		}
	}
	return to
}

// addStream adds a stream to those of its origin in a list.
func addStream(ms []*wire.StreamOrigin, v origin.Stream) []*wire.StreamOrigin {
	for _, m := range ms {
		if m.Service == v.Service && m.Version == v.Version {
			m.Streams = append(m.Streams, v.ID)
			return ms
		}
	}
	return append(ms, &wire.StreamOrigin{Service: v.Service, Version: v.Version, Streams: []uint64{v.ID}})
}

// merged returns the streams of several lists, each once.
func merged(lists map[string][]*wire.StreamOrigin) (ms []*wire.StreamOrigin) {
	known := map[uint64]bool{}
	for _, l := range lists {
		for _, m := range l {
			for _, id := range m.Streams {
				if !known[id] {
					known[id] = true
					ms = addStream(ms, origin.Stream{ID: id, Origin: origin.Origin{Service: m.Service, Version: m.Version}})
				}
			}
		}
	}
	return ms
}

// mergeOrigins records the streams that a peer's heartbeat reports.
func (f *Front) mergeOrigins(now time.Duration, s *state, ms []*wire.StreamOrigin) {
	for _, m := range ms {
		for _, id := range m.Streams {
			s.origins.Merge(now, id, origin.Origin{Service: m.Service, Version: m.Version})
		}
	}
}

// checkList notes that this front may have missed versions that were listed meanwhile, if for
// too long neither the platform nor a peer has confirmed its target list.
func (s *state) checkList(now time.Duration) {
	if min(s.roster.Age(now), now-s.listConfirmed) > origin.ListLag {
		s.origins.Interrupt(now)
	}
}

// confirmList notes that a peer holds the same target list, and when it was confirmed there.
func (s *state) confirmList(now time.Duration, m *wire.Beat) {
	if m.Directory == s.roster.Revision() {
		s.listConfirmed = max(s.listConfirmed, now-time.Duration(m.DirectoryAgeMs)*time.Millisecond)
	}
}
