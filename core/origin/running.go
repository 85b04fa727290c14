package origin

import (
	"maps"
	"slices"
	"time"
)

// completeInterval is how often all streams in progress are reported. A stream that begins is
// reported by itself, and one that ends with the next complete report.
const completeInterval = time.Second

// Running holds the streams in progress at a front, and decides when all of them are reported to the
// keepers beside targets. It is not safe for concurrent use.
type Running struct {
	groups map[Origin]*runningGroup
}

// runningGroup holds the streams in progress of one origin.
type runningGroup struct {
	// streams counts the requests for each stream: a caller may resume one before the request that
	// it has given up has ended. Broken are those that have broken off, and until when they are kept.
	streams map[uint64]int
	broken  map[uint64]time.Duration
	// to are the keepers that the last complete report went to, at the time complete.
	to       []string
	complete time.Duration
}

// Report is what keepers are to know of the streams of one origin.
type Report struct {
	Origin
	Streams []uint64
	// All is true if no other streams of the origin are in progress.
	All bool
	To  []string
}

// NewRunning returns a Running without streams.
func NewRunning() *Running { return &Running{groups: map[Origin]*runningGroup{}} }

// Begin notes that a stream is in progress, and reports whether it wasn't.
func (r *Running) Begin(id uint64, o Origin) bool {
	g := r.groups[o]
	if g == nil {
		g = &runningGroup{streams: map[uint64]int{}, broken: map[uint64]time.Duration{}}
		r.groups[o] = g
	}
	g.streams[id]++
	return g.streams[id] == 1
}

// End takes back one call of Begin. Unless the caller has got the whole stream, it may come back, and
// the stream counts as in progress for KeptFor more.
func (r *Running) End(now time.Duration, id uint64, o Origin, whole bool) {
	g := r.groups[o]
	if g == nil || g.streams[id] == 0 {
		return
	}
	if whole {
		delete(g.broken, id)
	} else {
		g.broken[id] = now + KeptFor
	}
	if g.streams[id]--; g.streams[id] == 0 {
		delete(g.streams, id)
	}
}

// Reports returns the complete reports that are due: once per completeInterval, if the keepers of an
// origin, as keepers names them, have changed, and when the last stream has ended.
func (r *Running) Reports(now time.Duration, keepers func(Origin) []string) []Report {
	var rs []Report
	for o, g := range r.groups {
		maps.DeleteFunc(g.broken, func(_ uint64, until time.Duration) bool { return now >= until })
		ids := g.ids()
		to := keepers(o)
		if len(ids) > 0 && now-g.complete < completeInterval && slices.Equal(to, g.to) {
			continue
		}
		g.to, g.complete = to, now
		rs = append(rs, Report{Origin: o, Streams: ids, All: true, To: to})
		if len(ids) == 0 {
			delete(r.groups, o)
		}
	}
	return rs
}

// ids returns the streams in order.
func (g *runningGroup) ids() []uint64 {
	ids := slices.Collect(maps.Keys(g.streams))
	for id := range g.broken {
		if g.streams[id] == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
