package origin

import (
	"math"
	"time"
)

// KeptFor is how long a keeper keeps a front's streams after its last report: longer than fronts are
// away after a loss of power, and callers wait to resume their streams.
const KeptFor = MinKeep

// Bounds of the memory of a keeper, for the incarnations and origins of one front and for all. The groups
// that were reported longest ago are dropped first: a front that runs reports its own about every second.
const (
	maxFrontGroups  = 1 << 8
	maxFrontStreams = maxRecords
	maxGroups       = 1 << 12
	maxKeptStreams  = 1 << 18
)

// Kept holds the streams that fronts have in progress, as a keeper beside a target knows them. What a
// front had in progress when it ended stays for KeptFor. It is not safe for concurrent use.
type Kept struct {
	groups map[keptKey]*keptGroup
	// streams is the number of streams of all groups.
	streams int
}

// keptKey is one process of a front and an origin.
type keptKey struct {
	front       string
	incarnation uint64
	Origin
}

// keptGroup holds the streams in progress.
type keptGroup struct {
	streams map[uint64]struct{}
	// complete is the sequence number of the last complete report, and at when the last report came.
	complete uint64
	at       time.Duration
}

// Sender is the process that sends a report, and the report's number among those of the process.
type Sender struct {
	Front                 string
	Incarnation, Sequence uint64
}

// NewKept returns a Kept without streams.
func NewKept() *Kept { return &Kept{groups: map[keptKey]*keptGroup{}} }

// Observe records a report. One that is older than the last complete report is ignored.
func (k *Kept) Observe(now time.Duration, from Sender, r Report) {
	k.expire(now)
	key := keptKey{from.Front, from.Incarnation, r.Origin}
	g := k.groups[key]
	if g == nil {
		g = &keptGroup{streams: map[uint64]struct{}{}}
		k.groups[key] = g
	}
	if from.Sequence < g.complete {
		return
	}
	g.at = now
	k.streams -= len(g.streams)
	if r.All {
		g.complete = from.Sequence
		clear(g.streams)
	}
	for _, id := range r.Streams {
		if len(g.streams) < maxRecords {
			g.streams[id] = struct{}{}
		}
	}
	k.streams += len(g.streams)
	for n, streams := k.size(from.Front); n > maxFrontGroups || streams > maxFrontStreams; n, streams = k.size(from.Front) {
		k.dropOldest(func(key keptKey) bool { return key.front == from.Front })
	}
	for len(k.groups) > maxGroups || k.streams > maxKeptStreams {
		k.dropOldest(func(keptKey) bool { return true })
	}
}

// size returns the numbers of groups and streams of a front.
func (k *Kept) size(front string) (groups, streams int) {
	for key, g := range k.groups {
		if key.front == front {
			groups++
			streams += len(g.streams)
		}
	}
	return groups, streams
}

// dropOldest drops the group that was reported longest ago among those that match.
func (k *Kept) dropOldest(matches func(keptKey) bool) {
	var oldest keptKey
	at := time.Duration(math.MaxInt64)
	for key, g := range k.groups {
		if matches(key) && g.at < at {
			oldest, at = key, g.at
		}
	}
	k.drop(oldest)
}

func (k *Kept) drop(key keptKey) {
	k.streams -= len(k.groups[key].streams)
	delete(k.groups, key)
}

func (k *Kept) expire(now time.Duration) {
	for key, g := range k.groups {
		if now-g.at > KeptFor {
			k.drop(key)
		}
	}
}

// Streams returns the streams by origin.
func (k *Kept) Streams(now time.Duration) map[Origin][]uint64 {
	k.expire(now)
	m := map[Origin][]uint64{}
	for key, g := range k.groups {
		for id := range g.streams {
			m[key.Origin] = append(m[key.Origin], id)
		}
	}
	return m
}
