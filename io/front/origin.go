package front

import (
	"context"
	"math"
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
	// originRetry is the Retry-After if it is not known what began a stream. Until then the
	// heartbeats of fronts that know it have arrived, or a front has been reached again.
	originRetry = time.Second
	// versionRetry is the Retry-After if no target of the version is left. A target that has
	// crashed starts again with its version within a few seconds.
	versionRetry = 2 * time.Second
	// begunSlack is added to the time that a resumed stream can have begun ago, for what a
	// request is on its way and for differences between callers' clocks.
	begunSlack = time.Second
	// maxListAge is the age of the target list from which versions may have been listed that
	// this front has not seen. Some fronts confirm their lists every 4 s.
	maxListAge = 5 * time.Second
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
		r.BegunMs = proto.Uint32(uint32(d.Milliseconds()))
	}
	o := actor.Ask(q.front.loop, func(now time.Duration, s *state) origin.Origin { return s.findOrigin(now, r) })
	if o.Version == "" {
		o = q.front.askOrigin(ctx, r)
	}
	if o.Version == "" {
		return http.StatusServiceUnavailable, "unknown-version", originRetry
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
// count the time that they will still wait from their first attempt, for which they wait as long
// as the route allows, or longer if this front has seen that. It reports false if the caller
// doesn't say how long it will wait.
func (q *request) begunAgo() (time.Duration, bool) {
	if q.call.Timeout <= 0 || q.route.Timeout <= 0 {
		return 0, false
	}
	longest := actor.Ask(q.front.loop, func(_ time.Duration, s *state) time.Duration { return s.spent.Longest(q.route.Name) })
	return max(longest, q.route.Timeout, q.call.Timeout) - q.call.Timeout + begunSlack, true
}

// findOrigin returns what this front knows of the origin of a stream: its record, or the only
// version that the stream can have begun at. It returns the zero Origin if it knows neither.
func (s *state) findOrigin(now time.Duration, r *wire.OriginRequest) origin.Origin {
	if o, ok := s.origins.Find(now, r.Stream); ok && r.Stream != 0 {
		return o
	}
	begun := time.Duration(math.MaxInt64)
	if r.BegunMs != nil {
		begun = time.Duration(r.GetBegunMs()) * time.Millisecond
	}
	if v, ok := s.origins.Only(now, r.Service, begun); ok {
		return origin.Origin{Service: r.Service, Version: v}
	}
	return origin.Origin{}
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
	q.front.loop.Post(func(now time.Duration, s *state) {
		s.origins.Add(now, id, o)
		s.changed = true
	})
}

// askOrigin asks the keepers of a stream what began it, all at once, and takes the first
// answer. It returns the zero Origin if none of them knows.
func (f *Front) askOrigin(ctx context.Context, r *wire.OriginRequest) origin.Origin {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ps := actor.Ask(f.loop, func(now time.Duration, s *state) []string {
		return share.Nearest(r.Stream, s.peers.Serving(now), keepers)
	})
	found := make(chan origin.Origin, len(ps))
	for _, p := range ps {
		go f.runAsk(ctx, p, r, found)
	}
	for range ps {
		if o := <-found; o.Version != "" {
			return o
		}
	}
	return origin.Origin{}
}

// runAsk asks a peer and sends its answer to found, which has room for it: the zero Origin if
// the peer doesn't know or can't be asked.
func (f *Front) runAsk(ctx context.Context, peer string, r *wire.OriginRequest, found chan<- origin.Origin) {
	a, err := f.gossip.Origin(ctx, peer, r)
	if err != nil && ctx.Err() == nil {
		f.log("origin", "fetch of a stream's origin from peer failed", "peer", peer, "error", err.Error())
	}
	found <- origin.Origin{Service: a.GetService(), Version: a.GetVersion()}
}

// Origin implements wire.DRPCFrontServer.
func (f *Front) Origin(_ context.Context, r *wire.OriginRequest) (*wire.OriginReply, error) {
	o := actor.Ask(f.loop, func(now time.Duration, s *state) origin.Origin { return s.findOrigin(now, r) })
	return &wire.OriginReply{Service: o.Service, Version: o.Version}, nil
}

// reportOrigins returns the streams that peers are still to be told of, and the peers.
func (f *Front) reportOrigins(now time.Duration, s *state) (streams []*wire.StreamOrigin, to map[string]bool) {
	to = map[string]bool{}
	by := map[origin.Origin]*wire.StreamOrigin{}
	ps := s.peers.Serving(now)
	for _, v := range s.origins.Unreported() {
		m := by[v.Origin]
		if m == nil {
			m = &wire.StreamOrigin{Service: v.Service, Version: v.Version}
			by[v.Origin] = m
			streams = append(streams, m)
		}
		m.Streams = append(m.Streams, v.ID)
		for _, p := range share.Nearest(v.ID, ps, keepers) {
			to[p] = true
		}
	}
	return streams, to
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
	if min(s.roster.Age(now), now-s.listConfirmed) > maxListAge {
		s.origins.Interrupt(now)
	}
}

// confirmList notes that a peer holds the same target list, and when it was confirmed there.
func (s *state) confirmList(now time.Duration, m *wire.Beat) {
	if m.Directory == s.roster.Revision() {
		s.listConfirmed = max(s.listConfirmed, now-time.Duration(m.DirectoryAgeMs)*time.Millisecond)
	}
}
