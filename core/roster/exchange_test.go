package roster_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/roster"
	"kingcupstand/internal/prop"
	"kingcupstand/schema/spec"
)

// change is one change of the platform's list.
type change struct {
	revision uint64
	replica  *spec.Replica
	deleted  bool
}

// history holds all changes of the platform's list.
type history struct {
	changes []change
}

// step makes the next change of a target: it is listed, leaves or is no longer listed.
func (h *history) step(id string, leave bool) {
	c := change{revision: uint64(len(h.changes) + 1), replica: &spec.Replica{Id: id}}
	if old := h.list(c.revision - 1)[id]; old != nil {
		c.replica.Leaving = leave && !old.Leaving
		c.deleted = !c.replica.Leaving
	}
	h.changes = append(h.changes, c)
}

// list returns the targets as of a revision.
func (h *history) list(revision uint64) map[string]*spec.Replica {
	m := map[string]*spec.Replica{}
	for _, c := range h.changes[:revision] {
		if c.deleted {
			delete(m, c.replica.Id)
		} else {
			m[c.replica.Id] = c.replica
		}
	}
	return m
}

// watcher is a front that reads the list once and then its changes.
type watcher struct {
	list *roster.List
	seen int
}

// watch applies up to n changes.
func (w *watcher) watch(h *history, n int) {
	for ; n > 0 && w.seen < len(h.changes); n-- {
		c := h.changes[w.seen]
		w.seen++
		if c.deleted {
			w.list.Delete(0, c.revision, c.replica.Id)
		} else {
			w.list.Put(0, c.revision, c.replica)
		}
	}
}

// Fronts that read the changes of the list at different speeds, and take lists over from one another,
// hold at any time the platform's list as of the revision that they name.
func TestPropertyListIsAsOfItsRevision(t *testing.T) {
	const later = time.Minute // after all grace periods
	prop.Check(t, func(t *rapid.T) {
		h := &history{}
		ws := []*watcher{{list: roster.New()}, {list: roster.New()}, {list: roster.New()}}
		front := rapid.IntRange(0, len(ws)-1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w := ws[front.Draw(t, "front")]
			switch rapid.SampledFrom([]string{"change", "change", "watch", "adopt"}).Draw(t, "action") {
			case "change":
				h.step(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), rapid.Bool().Draw(t, "leave"))
			case "watch":
				w.watch(h, rapid.IntRange(1, 5).Draw(t, "changes"))
			case "adopt":
				w.list.AdoptPeer(0, 0, ws[front.Draw(t, "peer")].list.Directory(0))
			}
			got, want := ids(w.list, later), slices.Sorted(maps.Keys(h.list(w.list.Revision())))
			if !slices.Equal(got, want) {
				t.Fatalf("as of revision %d: got %v, want %v", w.list.Revision(), got, want)
			}
		}
	})
}

// restored returns the history of the platform's next era: that of its first changes.
func (h *history) restored(changes int) *history {
	return &history{changes: slices.Clone(h.changes[:changes])}
}

// read applies the full list as of now, in an era. Its revision is that of its newest entry.
func (w *watcher) read(h *history, era uint64) {
	w.seen = len(h.changes)
	d := &spec.Directory{Era: era, Complete: uint64(w.seen)}
	m := h.list(d.Complete)
	for _, c := range h.changes {
		if m[c.replica.Id] == c.replica {
			d.Replicas, d.Revision = append(d.Replicas, c.replica), c.revision
		}
	}
	w.list.ApplySnapshot(0, d)
}

// The platform's store is restored from older copies now and then, and gives out revisions again.
// Fronts that read all of it then, and else its changes, hold at any time what the store held at the
// revision of the era that they name, and in the end what it holds, whatever lists they take over
// from one another.
func TestPropertyListsOfARestoredStore(t *testing.T) {
	const later = time.Minute // after all grace periods
	prop.Check(t, func(t *rapid.T) {
		eras := []*history{{}}
		ws := []*watcher{{list: roster.New()}, {list: roster.New()}, {list: roster.New()}}
		read := make([]uint64, len(ws)) // the era of each front's last read
		front := rapid.IntRange(0, len(ws)-1)
		watch := func(n, changes int) {
			era := uint64(len(eras) - 1)
			if read[n] != era {
				ws[n].read(eras[era], era)
				read[n] = era
			}
			ws[n].watch(eras[era], changes)
		}
		check := func(w *watcher, d *spec.Directory) {
			got, want := ids(w.list, later), slices.Sorted(maps.Keys(eras[d.Era].list(d.Complete)))
			if !slices.Equal(got, want) {
				t.Fatalf("as of revision %d of era %d: got %v, want %v", d.Complete, d.Era, got, want)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := front.Draw(t, "front")
			w, h := ws[n], eras[len(eras)-1]
			switch rapid.SampledFrom([]string{"change", "change", "change", "watch", "adopt", "read", "restore"}).Draw(t, "action") {
			case "change":
				h.step(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), rapid.Bool().Draw(t, "leave"))
			case "watch":
				watch(n, rapid.IntRange(1, 5).Draw(t, "changes"))
			case "adopt":
				w.list.AdoptPeer(0, 0, ws[front.Draw(t, "peer")].list.Directory(0))
			case "read":
				w.read(h, uint64(len(eras)-1))
				read[n] = uint64(len(eras) - 1)
			case "restore":
				if len(h.changes) > 0 { // a store that holds a configuration isn't at revision 0
					eras = append(eras, h.restored(rapid.IntRange(1, len(h.changes)).Draw(t, "changes kept")))
				}
			}
			if d := w.list.Directory(0); d.Complete > 0 {
				check(w, d)
			}
		}
		h := eras[len(eras)-1]
		for n, w := range ws {
			watch(n, len(h.changes))
			check(w, &spec.Directory{Era: uint64(len(eras) - 1), Complete: uint64(len(h.changes))})
		}
	})
}

// A front whose list is a peer's gets changes from the platform that the list has already. They don't
// undo later ones, for it nor for those that take its list over.
func TestChangesBeforeListOfPeer(t *testing.T) {
	a, b, c := roster.New(), roster.New(), roster.New()
	for _, l := range []*roster.List{a, b, c} {
		l.ApplySnapshot(0, directory(1, "x"))
	}
	gone := func(l *roster.List) {
		l.Put(0, 2, &spec.Replica{Id: "x", Leaving: true})
		l.Delete(0, 3, "x")
	}
	gone(a)
	a.Put(0, 4, &spec.Replica{Id: "y"})
	b.AdoptPeer(0, 0, a.Directory(0))
	b.Put(0, 2, &spec.Replica{Id: "x", Leaving: true}) // its watch is late
	gone(c)
	c.AdoptPeer(0, 0, b.Directory(0))
	checkIDs(t, b, time.Minute, "y")
	checkIDs(t, c, time.Minute, "y")
}

// A front that has read the restored store keeps that list, though a peer still names a higher revision
// of before. It names that revision too from then on, so that it doesn't fetch the peer's list again.
func TestListOfEarlierEraIsNotAdopted(t *testing.T) {
	before, after := roster.New(), roster.New()
	before.ApplySnapshot(0, directory(10, "x"))
	d := directory(5, "y")
	d.Era, d.Complete = 1, 6
	after.ApplySnapshot(0, d)
	if after.AdoptPeer(0, 0, before.Directory(0)) || after.Revision() != 10 {
		t.Errorf("adopted, or at revision %d", after.Revision())
	}
	checkIDs(t, after, time.Minute, "y")
	after.Put(0, 11, &spec.Replica{Id: "z"})
	if !before.AdoptPeer(0, 0, after.Directory(0)) {
		t.Error("a list of a later era was not adopted")
	}
	checkIDs(t, before, time.Minute, "y", "z")
}

// A peer of an earlier build doesn't name the era of its list. Changes from the platform are applied to
// it then, as the store may have been restored since.
func TestChangesAfterListWithoutEra(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(1, "x"))
	l.AdoptPeer(0, 0, directory(5, "x", "y"))
	l.Put(0, 3, &spec.Replica{Id: "z"})
	checkIDs(t, l, time.Minute, "x", "y", "z")
	if d := l.Directory(0); d.Complete != 0 || d.Era != 0 {
		t.Errorf("the list is as of revision %d of era %d, want unknown", d.Complete, d.Era)
	}
}
