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

// Guards against a change that is lost, or a target that stays, because the revision of its entry is
// missing or can't be read: nothing shows that the list has it already.
func TestChangesWithoutRevisionAreApplied(t *testing.T) {
	read, adopted := roster.New(), roster.New()
	read.ApplySnapshot(0, directory(1, "a", "b", "c"))
	adopted.AdoptPeer(0, 0, read.Directory(0))
	for _, l := range []*roster.List{read, adopted} {
		l.PutInvalid(0, 0, "a")
		l.Put(0, 0, &spec.Replica{Id: "b", Leaving: true})
		l.Delete(0, 0, "b")
		l.Put(0, 0, &spec.Replica{Id: "d"})
		checkIDs(t, l, 0, "c", "d")
	}
}

// Guards against a front that has all changes up to a revision from the platform, and then takes over
// a list that lacks some of them and passes them over, as it was before at the list of a peer of an
// earlier build, of which it isn't known up to where it is complete.
func TestListBeforeOwnChangesIsNotAdopted(t *testing.T) {
	l, peer := roster.New(), roster.New()
	l.ApplySnapshot(0, directory(30, "x"))
	l.AdoptPeer(0, 0, directory(31, "x"))     // a peer of an earlier build
	peer.AdoptPeer(0, 0, directory(36, "x"))  // likewise
	peer.ApplySnapshot(0, directory(33, "x")) // read before, but slowly
	l.Put(0, 34, &spec.Replica{Id: "y"})
	l.AdoptPeer(0, 0, peer.Directory(0))
	l.Put(0, 37, &spec.Replica{Id: "z"})
	checkIDs(t, l, time.Minute, "x", "y", "z")
}

// reader is a front that reads the list and the changes of one era. Its reads take time: a peer's list
// may be taken over between a read and its application.
type reader struct {
	watcher
	history *history
	read    *spec.Directory
}

// step begins a read of an era's list, applies it, or watches up to n changes.
func (r *reader) step(h *history, era uint64, n int) {
	switch {
	case r.read != nil:
		r.list.ApplySnapshot(0, r.read)
		r.read = nil
	case r.history != h:
		l := watcher{list: roster.New()}
		l.read(h, era)
		r.history, r.seen, r.read = h, l.seen, l.list.Directory(0)
	default:
		r.watch(h, n)
	}
}

// While fronts of an earlier build serve, whose lists name no era, the others hold at any time what the
// store held at the revision that they name, if they name one, also if the store is restored and
// reads are slow.
func TestPropertyListsBesideEarlierBuild(t *testing.T) {
	const earlier = 2 // the front of an earlier build
	prop.Check(t, func(t *rapid.T) {
		eras := []*history{{}}
		rs := []*reader{{}, {}, {}}
		for _, r := range rs {
			r.list = roster.New()
		}
		front := rapid.IntRange(0, len(rs)-1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			n := front.Draw(t, "front")
			r, h := rs[n], eras[len(eras)-1]
			switch a := rapid.SampledFrom([]string{"change", "change", "step", "step", "adopt", "adopt", "adopt", "again", "restore"}).Draw(t, "action"); {
			case a == "change":
				h.step(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "target"), rapid.Bool().Draw(t, "leave"))
			case a == "adopt":
				p := front.Draw(t, "peer")
				d := rs[p].list.Directory(0)
				if p == earlier {
					d.Era, d.Complete = 0, 0
				}
				r.list.AdoptPeer(0, 0, d)
			case len(h.changes) == 0: // a store that holds a configuration isn't at revision 0
			case a == "step":
				r.step(h, uint64(len(eras)-1), rapid.IntRange(1, 5).Draw(t, "changes"))
			case a == "again" && r.read == nil:
				r.history = nil
			case a == "restore":
				eras = append(eras, h.restored(rapid.IntRange(1, len(h.changes)).Draw(t, "changes kept")))
			}
			d := r.list.Directory(0)
			if d.Complete == 0 || n == earlier {
				continue
			}
			got, want := ids(r.list, time.Minute), slices.Sorted(maps.Keys(eras[d.Era].list(d.Complete)))
			if !slices.Equal(got, want) {
				t.Fatalf("as of revision %d of era %d: got %v, want %v", d.Complete, d.Era, got, want)
			}
		}
	})
}
