package front

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"kingcupstand/schema/wire"
)

const (
	// maxDatagram is the size of the largest datagram that can be sent, in bytes.
	maxDatagram = 65507
	// maxReportStreams is the number of streams in one message to a keeper, which is half a datagram then.
	maxReportStreams = 4000
)

// send sends a message to peers or keepers. One that doesn't fit into a datagram is shortened: without
// any heartbeat they would lose this front.
func (f *Front) send(m *wire.Beat, to []string) {
	if n := shorten(m, maxDatagram); n > 0 {
		f.log("heartbeat", "heartbeat shortened", "left-out", n, "uses", len(m.Uses), "streams-only", m.StreamsOnly)
	}
	f.gossip.Send(m, to)
}

// shorten shortens the longest lists of a message until it has no more than the given number of bytes, and
// returns how many entries it has left out. Of the targets in use the busiest stay. The lists that
// grow with the fleet are in random order, so that a series of heartbeats has all of their entries.
func shorten(m *wire.Beat, bytes int) (left int) {
	if proto.Size(m) <= bytes {
		return 0
	}
	slices.SortStableFunc(m.Uses, func(a, b *wire.TargetUse) int { return cmp.Compare(b.Running, a.Running) })
	r := m.ProtoReflect()
	for size := proto.Size(m); size > bytes; size = proto.Size(m) {
		d := longestList(m)
		if d == nil {
			break
		}
		l := r.Mutable(d).List()
		n := min(l.Len(), 1+l.Len()*(size-bytes)/size)
		l.Truncate(l.Len() - n)
		left += n
	}
	return left
}

// longestList returns the list of a message that takes the most bytes, or nil if all are empty.
func longestList(m *wire.Beat) (longest protoreflect.FieldDescriptor) {
	most := 0
	for _, s := range fieldSizes(m) {
		d := m.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(s.name))
		if d != nil && d.IsList() && s.bytes > most {
			longest, most = d, s.bytes
		}
	}
	return longest
}
