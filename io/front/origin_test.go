package front

import (
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/origin"
	"kingcupstand/schema/spec"
	"kingcupstand/schema/wire"
)

// A front tells its peers what it has recorded, and otherwise the only version that a stream
// can have begun at, but not if the stream may have begun at another service.
func TestFindOrigin(t *testing.T) {
	s := newState(&spec.Front{RetryWindowMs: 1000}, rand.New(rand.NewPCG(1, 2)))
	v2, v1 := origin.Origin{Service: "chat", Version: "v2"}, origin.Origin{Service: "chat", Version: "v1"}
	s.origins.SetVersions(0, map[string][]string{"chat": {"v1"}})
	now := 2 * origin.MinKeep
	s.origins.Add(now, 7, v2)
	s.position = Position{Era: 1, Revision: 9}
	for _, c := range []struct {
		name string
		now  time.Duration
		r    *wire.OriginRequest
		want finding
	}{
		{"record", now, &wire.OriginRequest{Stream: 7, Service: "chat"}, finding{Origin: v2, recorded: true}},
		{"record of another service", now, &wire.OriginRequest{Stream: 7, Service: "other"}, finding{Origin: v2, recorded: true}},
		{"only version", now, &wire.OriginRequest{Stream: 8, Service: "chat"}, finding{Origin: v1, at: s.position}},
		{"only version, stream not named", now, &wire.OriginRequest{Service: "chat"}, finding{Origin: v1, at: s.position}},
		{"several services", now, &wire.OriginRequest{Stream: 8}, finding{}},
		{"just started", time.Second, &wire.OriginRequest{Service: "chat"}, finding{}},
	} {
		if got := s.findOrigin(c.now, c.r); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// The only version is certain as long as the platform or a peer with the same list confirms
// it.
func TestCheckList(t *testing.T) {
	for _, c := range []struct {
		name      string
		directory uint64
		age       time.Duration
		want      bool
	}{
		{"peer with the same list", 5, time.Second, true},
		{"peer whose list is old, too", 5, time.Minute, false},
		{"peer with another list", 6, time.Second, false},
	} {
		s := newState(&spec.Front{RetryWindowMs: 1000}, rand.New(rand.NewPCG(1, 2)))
		s.roster.ApplySnapshot(0, &spec.Directory{Revision: 5})
		s.origins.SetVersions(0, map[string][]string{"chat": {"v1"}})
		now := time.Duration(0)
		for ; now <= 2*origin.MinKeep; now += time.Second {
			s.confirmList(now, &wire.Beat{Directory: c.directory, DirectoryAgeMs: uint32(c.age.Milliseconds())})
			s.checkList(now)
		}
		if _, ok := s.origins.Only(now, "chat", origin.MinKeep); ok != c.want {
			t.Errorf("%s: got %v, want %v", c.name, ok, c.want)
		}
	}
}

// A finding covers a position if it is as new and of the same era.
func TestPositionCovers(t *testing.T) {
	for _, c := range []struct {
		p, o Position
		want bool
	}{
		{Position{}, Position{}, false},
		{Position{Revision: 5}, Position{Revision: 5}, true},
		{Position{Revision: 5}, Position{Revision: 6}, false},
		{Position{Era: 1, Revision: 9}, Position{Era: 2, Revision: 5}, false},
		{Position{Era: 2, Revision: 9}, Position{Era: 1, Revision: 5}, false},
	} {
		if got := c.p.covers(c.o); got != c.want {
			t.Errorf("%+v covers %+v: got %v", c.p, c.o, got)
		}
	}
}
