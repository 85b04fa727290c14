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
