package roster_test

import (
	"slices"
	"testing"
	"time"

	"kingcupstand/core/roster"
	"kingcupstand/schema/spec"
)

func ids(l *roster.List, now time.Duration) []string {
	var s []string
	for _, r := range l.Replicas(now) {
		s = append(s, r.Id)
	}
	return s
}

func directory(revision uint64, names ...string) *spec.Directory {
	d := &spec.Directory{Revision: revision}
	for _, n := range names {
		d.Replicas = append(d.Replicas, &spec.Replica{Id: n})
	}
	return d
}

func checkIDs(t *testing.T, l *roster.List, now time.Duration, want ...string) {
	t.Helper()
	if got := ids(l, now); !slices.Equal(got, want) {
		t.Errorf("at %v: got %v, want %v", now, got, want)
	}
}

// A target that goes missing without notice is kept for MissingGrace and no longer.
func TestMissingTargetIsKeptForGrace(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.Delete(time.Second, 2, "b")
	checkIDs(t, l, time.Second+roster.MissingGrace-1, "a", "b")
	if at, ok := l.NextExpiry(); !ok || at != time.Second+roster.MissingGrace {
		t.Errorf("got next removal due at %v, %v", at, ok)
	}
	checkIDs(t, l, time.Second+roster.MissingGrace, "a")
}

// Guards against a target that is dropped before its grace has passed, as one call to the platform failed
// meanwhile.
func TestShortOutageKeepsGrace(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.Delete(time.Second, 2, "b")
	l.PlatformDown()
	l.Confirm(time.Second + roster.MissingGrace/4)
	checkIDs(t, l, time.Second+roster.MissingGrace-1, "a", "b")
	checkIDs(t, l, time.Second+roster.MissingGrace, "a")
}

func TestLeavingTargetIsRemovedAtOnce(t *testing.T) {
	l := roster.New()
	l.Put(0, 1, &spec.Replica{Id: "a", Leaving: true})
	l.Delete(time.Second, 2, "a")
	checkIDs(t, l, time.Second)
}

// Targets whose entries expire during an outage are kept throughout it and for
// OutageGrace after it.
func TestExpiredEntriesAreKeptDuringOutage(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PlatformDown()
	checkIDs(t, l, 30*time.Second, "a", "b")
	back := 40 * time.Second
	l.ApplySnapshot(back, directory(5))
	checkIDs(t, l, back+roster.OutageGrace-1, "a", "b")
	l.Put(back+time.Second, 6, &spec.Replica{Id: "a"})
	checkIDs(t, l, back+roster.OutageGrace, "a")
}

func TestInvalidEntryRemovesTarget(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PutInvalid(time.Second, 2, "a")
	checkIDs(t, l, time.Second, "b")
}

// A front that can't reach the platform takes over a peer's newer list, including its
// removals, and never one of the same revision.
func TestNewerListOfPeerReplacesList(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(5, "a", "b"))
	l.PlatformDown()
	if l.AdoptPeer(time.Second, 0, directory(5, "c")) {
		t.Error("a list of the same revision was accepted")
	}
	if !l.AdoptPeer(time.Second, 0, directory(6, "b", "c")) {
		t.Error("a newer list was not accepted")
	}
	checkIDs(t, l, time.Second, "b", "c")
}

// A front takes over the list of a peer that still keeps a missing target. It must
// remove the target when the peer does, as the platform doesn't report the removal
// again.
func TestListOfPeerMarksMissingTargets(t *testing.T) {
	a, b, offline := roster.New(), roster.New(), roster.New()
	offline.PlatformDown()
	a.ApplySnapshot(0, directory(1, "x", "y"))
	a.Delete(time.Second, 2, "y")
	a.Put(time.Second, 3, &spec.Replica{Id: "z"})
	now := time.Second + roster.MissingGrace/2
	for _, l := range []*roster.List{b, offline} {
		if !l.AdoptPeer(now, 0, a.Directory(now)) {
			t.Fatal("the newer list was not accepted")
		}
		checkIDs(t, l, now, "x", "y", "z")
		checkIDs(t, l, time.Second+roster.MissingGrace+time.Millisecond, "x", "z")
	}
}

// A target may leave just as the platform returns. The last request must reach it within
// 2 s, of which up to 100 ms pass on the way.
func TestTargetLeavesAsPlatformReturns(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a"))
	l.PlatformDown()
	back := 10 * time.Second
	l.Delete(back, 2, "a")
	checkIDs(t, l, back+1900*time.Millisecond)
}

// A front whose own connection to the platform is still down learns from a peer that the
// platform is back. When its own calls succeed later, the outage is over already, and a
// target that is missing then is kept for MissingGrace only.
func TestOutageEndsWithListOfPeer(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PlatformDown()
	now := 10 * time.Second
	l.AdoptPeer(now-100*time.Millisecond, 0, directory(2, "a", "b"))
	l.ApplySnapshot(now, directory(3, "a"))
	checkIDs(t, l, now+roster.MissingGrace, "a")
}

// A peer of an earlier build sends lists without versions. What is known of a target stays, as
// the version of a process doesn't change.
func TestListOfPeerKeepsVersions(t *testing.T) {
	l := roster.New()
	d := directory(1, "a")
	d.Replicas[0].Version = "v1"
	l.ApplySnapshot(0, d)
	l.AdoptPeer(time.Second, 0, directory(2, "a", "b"))
	for _, r := range l.Replicas(time.Second) {
		if want := map[string]string{"a": "v1", "b": ""}[r.Id]; r.Version != want {
			t.Errorf("target %s: got version %q, want %q", r.Id, r.Version, want)
		}
	}
}
