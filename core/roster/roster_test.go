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

func expect(t *testing.T, l *roster.List, now time.Duration, want ...string) {
	t.Helper()
	if got := ids(l, now); !slices.Equal(got, want) {
		t.Errorf("at %v: got %v, want %v", now, got, want)
	}
}

// A target that vanishes without notice is kept for Hold and no longer.
func TestVanishedTarget(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.Delete(time.Second, 2, "b")
	expect(t, l, time.Second+roster.MissingGrace-1, "a", "b")
	if at, ok := l.NextExpiry(); !ok || at != time.Second+roster.MissingGrace {
		t.Errorf("due at %v, %v", at, ok)
	}
	expect(t, l, time.Second+roster.MissingGrace, "a")
}

func TestTargetThatSaidItLeavesIsGoneAtOnce(t *testing.T) {
	l := roster.New()
	l.Put(0, 1, &spec.Replica{Id: "a", Leaving: true})
	l.Delete(time.Second, 2, "a")
	expect(t, l, time.Second)
}

// Entries that lapse during an outage are kept through it, and for Settle after.
func TestEntriesLapseDuringAnOutage(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PlatformDown()
	expect(t, l, 30*time.Second, "a", "b")
	back := 40 * time.Second
	l.ApplySnapshot(back, directory(5))
	expect(t, l, back+roster.OutageGrace-1, "a", "b")
	l.Put(back+time.Second, 6, &spec.Replica{Id: "a"})
	expect(t, l, back+roster.OutageGrace, "a")
}

func TestEntryThatCannotBeReadNamesNoTarget(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PutInvalid(time.Second, 2, "a")
	expect(t, l, time.Second, "b")
}

// A front that is cut off from the platform believes a peer's newer list, which
// says which targets are gone, and never an older one.
func TestPeersList(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(5, "a", "b"))
	l.PlatformDown()
	if l.AdoptPeer(time.Second, 0, directory(5, "c")) {
		t.Error("a list of the same revision was taken")
	}
	if !l.AdoptPeer(time.Second, 0, directory(6, "b", "c")) {
		t.Error("a newer list was not taken")
	}
	expect(t, l, time.Second, "b", "c")
}

// The pattern is a series of changes in which a front learns the list from a peer
// that still holds a target which has vanished: the front gives it up when the peer
// does, as nobody will tell it of the removal again.
func TestPeersListTellsWhatHasVanished(t *testing.T) {
	a, b, cut := roster.New(), roster.New(), roster.New()
	cut.PlatformDown()
	a.ApplySnapshot(0, directory(1, "x", "y"))
	a.Delete(time.Second, 2, "y")
	a.Put(time.Second, 3, &spec.Replica{Id: "z"})
	now := time.Second + roster.MissingGrace/2
	for _, l := range []*roster.List{b, cut} {
		if !l.AdoptPeer(now, 0, a.Directory(now)) {
			t.Fatal("the list was not taken")
		}
		expect(t, l, now, "x", "y", "z")
		expect(t, l, time.Second+roster.MissingGrace+time.Millisecond, "x", "z")
	}
}

// A target may leave just as the platform returns. Users allow 2 s from then until
// the last request reaches it, which takes up to a tenth of a second on its way.
func TestTargetLeavesAsThePlatformReturns(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a"))
	l.PlatformDown()
	back := 10 * time.Second
	l.Delete(back, 2, "a")
	expect(t, l, back+1900*time.Millisecond)
}

// A front whose own watch was cut hears from peers that the platform is back. When
// its own calls succeed again later, the outage is long over: what vanishes then has
// left, and is not taken for lapsed.
func TestOutageEndsWhenAPeerSaysSo(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "a", "b"))
	l.PlatformDown()
	now := 10 * time.Second
	l.AdoptPeer(now-100*time.Millisecond, 0, directory(2, "a", "b"))
	l.ApplySnapshot(now, directory(3, "a"))
	expect(t, l, now+roster.MissingGrace, "a")
}
