package front

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"kingcupstand/schema/wire"
)

// traffic counts the bytes that a front sends to its peers and to keepers as datagrams. It belongs to
// the control loop.
type traffic struct {
	// near and far are the bytes sent since the last report to fronts that get heartbeats of their
	// own, as they are in the same data centre, and to others; without the headers of datagrams.
	near, far int
	// sample is one heartbeat since the last report, which is broken down by field.
	sample *wire.Beat
}

// count adds a message that is sent to so many near and far fronts.
func (c *traffic) count(m *wire.Beat, near, far int) {
	n := proto.Size(m)
	c.near += n * near
	c.far += n * far
	if !m.StreamsOnly {
		c.sample = m
	}
}

// otherFields is the name under which the fields of a heartbeat are reported that name the sender
// and its revisions.
const otherFields = "sender"

// reportTraffic logs and exports the bytes sent since the last report, and the size of one
// heartbeat by field.
func (f *Front) reportTraffic(s *state) {
	c := s.traffic
	s.traffic = traffic{}
	f.meter.heartbeatsNear.Inc(int64(c.near))
	f.meter.heartbeatsFar.Inc(int64(c.far))
	line := []any{"near-bytes", c.near, "far-bytes", c.far}
	for _, k := range fieldSizes(c.sample) {
		f.meter.recordField(k.name, k.bytes)
		line = append(line, k.name, k.bytes)
	}
	f.telem.Log.Info("heartbeats sent", line...)
}

// fieldSize is the encoded size of a part of a heartbeat.
type fieldSize struct {
	name  string
	bytes int
}

// fieldSizes returns the encoded sizes of the lists in a heartbeat, in the order of their
// declaration, after that of all other fields together.
func fieldSizes(m *wire.Beat) []fieldSize {
	if m == nil {
		return nil
	}
	r := m.ProtoReflect()
	rest := fieldSize{otherFields, proto.Size(m)}
	var ss []fieldSize
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		d := fields.Get(i)
		if !r.Has(d) || !d.IsList() && d.Kind() != protoreflect.MessageKind {
			continue
		}
		one := r.New()
		one.Set(d, r.Get(d))
		n := proto.Size(one.Interface())
		rest.bytes -= n
		ss = append(ss, fieldSize{string(d.Name()), n})
	}
	return append([]fieldSize{rest}, ss...)
}
