package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/roster"
	"kingcupstand/internal/prop"
	"kingcupstand/schema/spec"
)

// entry returns the entry that the process of target "a" that was born at a time writes with its n-th report.
func entry(born int64, n uint64) *spec.Replica {
	return &spec.Replica{Id: "a", Address: fmt.Sprint("192.0.2.1:", born), Born: born, Sequence: n, Version: fmt.Sprint("v", born)}
}

func leaving(r *spec.Replica) *spec.Replica {
	r.Leaving = true
	return r
}

// copyOf returns what a restored store lists: an older entry, under a later era and an earlier revision.
func copyOf(era uint64, rs ...*spec.Replica) *spec.Directory {
	return &spec.Directory{Era: era, Revision: 3, Complete: 3, Replicas: rs}
}

// Guards against a store that comes back from an older copy and undoes what a target has reported since.
func TestRestoredStoreDoesNotUndoReports(t *testing.T) {
	const back = 10 * time.Second
	written := func(l *roster.List, r *spec.Replica) { l.Put(back+time.Second, 4, r) }
	for name, c := range map[string]struct {
		// before are changes that were seen before the restoration, the first of them at 0.
		before []func(*roster.List)
		copy   *spec.Replica
		after  func(*roster.List)
		// now is when the list is read, which has want: Born, Sequence and whether it leaves.
		now  time.Duration
		want string
	}{
		"leaving": {
			before: []func(*roster.List){func(l *roster.List) { l.Put(0, 5, leaving(entry(1, 2))) }},
			copy:   entry(1, 1), now: back, want: "1 2 true",
		},
		"left": {
			before: []func(*roster.List){
				func(l *roster.List) { l.Put(0, 5, leaving(entry(1, 2))) },
				func(l *roster.List) { l.Delete(0, 6, "a") },
			},
			copy: entry(1, 1), now: back + roster.DoubtGrace, want: "",
		},
		"removed without notice": {
			before: []func(*roster.List){func(l *roster.List) { l.Delete(0, 5, "a"); l.Replicas(back) }},
			copy:   entry(1, 1), now: back + roster.DoubtGrace - 1, want: "",
		},
		"removed without notice, but lives": {
			before: []func(*roster.List){func(l *roster.List) { l.Delete(0, 5, "a"); l.Replicas(back) }},
			copy:   entry(1, 1), after: func(l *roster.List) { written(l, entry(1, 2)) }, now: back + time.Second, want: "1 2 false",
		},
		"removed without notice, still listed": {
			before: []func(*roster.List){func(l *roster.List) { l.Delete(0, 5, "a"); l.Replicas(back) }},
			copy:   entry(1, 1), now: back + roster.DoubtGrace, want: "1 1 false",
		},
		"later process": {
			before: []func(*roster.List){func(l *roster.List) { l.Put(0, 5, entry(2, 1)) }},
			copy:   entry(1, 1), now: back, want: "2 1 false",
		},
		"later process, written again": {
			before: []func(*roster.List){func(l *roster.List) { l.Put(0, 5, entry(2, 1)) }},
			copy:   entry(1, 1), after: func(l *roster.List) { written(l, entry(2, 3)) }, now: back + roster.DoubtGrace, want: "2 3 false",
		},
		"later process that has ended": {
			before: []func(*roster.List){func(l *roster.List) { l.Put(0, 5, entry(2, 1)) }},
			copy:   entry(1, 1), after: func(l *roster.List) { l.Delete(back+time.Second, 4, "a") }, now: back + roster.DoubtGrace, want: "",
		},
		"later report of another address": {
			before: []func(*roster.List){func(l *roster.List) { l.Put(0, 5, entry(1, 4)) }},
			copy:   entry(1, 1), now: back, want: "1 4 false",
		},
		"earlier process replaced": {
			copy: entry(2, 1), now: back, want: "2 1 false",
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, peer := roster.New(), roster.New()
			for _, v := range []*roster.List{l, peer} {
				v.ApplySnapshot(0, &spec.Directory{Era: 1, Revision: 4, Complete: 4, Replicas: []*spec.Replica{entry(1, 1)}})
				for _, b := range c.before {
					b(v)
				}
			}
			l.ApplySnapshot(back, copyOf(2, c.copy))
			d := l.Directory(back)
			d.Revision = 100 // fronts compare lists by revision before they fetch one
			peer.AdoptPeer(back, 0, d)
			for _, v := range []*roster.List{l, peer} {
				if c.after != nil {
					c.after(v)
				}
				v.Confirm(c.now)
				var got string
				for _, r := range v.Replicas(c.now) {
					got += fmt.Sprint(r.Born, " ", r.Sequence, " ", r.Leaving)
				}
				if got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
			}
		})
	}
}

// Guards against a target that lives and is dropped as the copy doesn't list it yet.
func TestTargetThatTheCopyLacksIsKept(t *testing.T) {
	l := roster.New()
	l.ApplySnapshot(0, directory(4))
	l.Put(0, 5, entry(1, 1))
	l.ApplySnapshot(time.Second, copyOf(1))
	checkIDs(t, l, time.Second+roster.OutageGrace-1, "a")
	checkIDs(t, l, time.Second+roster.OutageGrace)
}

// Guards against a later process that a peer lists beside an outdated entry of its ID, and that is dropped for it.
func TestListWithEntryInDoubt(t *testing.T) {
	l, peer := roster.New(), roster.New()
	l.ApplySnapshot(0, &spec.Directory{Era: 1, Revision: 4, Complete: 4, Replicas: []*spec.Replica{entry(2, 1)}})
	l.ApplySnapshot(time.Second, copyOf(2, entry(1, 1)))
	peer.ApplySnapshot(time.Second, &spec.Directory{Era: 2, Revision: 2, Complete: 2, Replicas: []*spec.Replica{entry(2, 1)}})
	if !peer.AdoptPeer(time.Second, 0, l.Directory(time.Second)) {
		t.Fatal("the list is not adopted")
	}
	checkIDs(t, peer, time.Second, "a")
	checkIDs(t, peer, time.Second+roster.OutageGrace)
}

// world is a store that is restored from copies, and targets that write their entries to it.
type world struct {
	now      time.Duration
	era      uint64
	revision uint64
	items    map[string]*spec.Replica
	renewed  map[string]time.Duration
	events   []change
	copies   []store
	// live are the processes that run, and born how many have started.
	live map[string]*spec.Replica
	born int64
}

type store struct {
	at       time.Duration
	revision uint64
	items    map[string]*spec.Replica
}

func (w *world) write(id string, r *spec.Replica) {
	w.revision++
	w.events = append(w.events, change{w.revision, r, r.Slots == 0})
	if delete(w.items, id); r.Slots > 0 {
		w.items[id], w.renewed[id] = r, w.now
	}
}

// report makes a target write its entry.
func (w *world) report(id string) {
	if r := w.live[id]; r != nil {
		r.Sequence++
		c := spec.Replica{Id: id, Born: r.Born, Sequence: r.Sequence, Leaving: r.Leaving, Slots: 1}
		w.write(id, &c)
	}
}

func (w *world) start(id string) {
	w.born++
	w.live[id] = &spec.Replica{Born: w.born}
	w.report(id)
}

// leave makes a target leave, or end if it does already.
func (w *world) leave(id string) {
	switch r := w.live[id]; {
	case r == nil:
	case r.Leaving:
		delete(w.live, id)
		w.write(id, &spec.Replica{Id: id})
	default:
		r.Leaving = true
		w.report(id)
	}
}

// pass lets time pass: targets report, and entries that are not renewed expire.
func (w *world) pass(d time.Duration) {
	w.now += d
	w.copies = append(w.copies, store{w.now, w.revision, maps.Clone(w.items)})
	for _, id := range slices.Sorted(maps.Keys(w.live)) {
		if w.now-w.renewed[id] > 1200*time.Millisecond {
			w.report(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.items)) {
		if w.now-w.renewed[id] > 3600*time.Millisecond {
			w.write(id, &spec.Replica{Id: id})
		}
	}
}

// restore restores the store from one of the copies of the last seconds.
func (w *world) restore(n int) {
	c := w.copies[max(0, len(w.copies)-1-n)]
	w.era++
	w.revision, w.items, w.events = c.revision, maps.Clone(c.items), nil
	for id := range w.items {
		w.renewed[id] = w.now
	}
}

// follower is a front that follows the world's store, with what it has read.
type follower struct {
	list *roster.List
	era  uint64
	at   uint64
	read bool
	// left are the processes that it has read to be leaving, and newest the latest of each target.
	left   map[string]bool
	newest map[string]int64
}

func (f *follower) note(r *spec.Replica) {
	f.newest[r.Id] = max(f.newest[r.Id], r.Born)
	if r.Leaving {
		f.left[fmt.Sprint(r.Id, r.Born)] = true
	}
}

func (f *follower) follow(w *world, whole bool) {
	if f.read && f.era == w.era && !whole {
		for _, c := range w.events {
			switch {
			case c.revision <= f.at:
			case c.deleted:
				f.list.Delete(w.now, c.revision, c.replica.Id)
			default:
				f.note(c.replica)
				f.list.Put(w.now, c.revision, c.replica)
			}
		}
		f.at = w.revision
		f.list.Confirm(w.now)
		return
	}
	d := &spec.Directory{Era: w.era, Revision: w.revision, Complete: w.revision}
	for _, id := range slices.Sorted(maps.Keys(w.items)) {
		f.note(w.items[id])
		d.Replicas = append(d.Replicas, w.items[id])
	}
	f.list.ApplySnapshot(w.now, d)
	f.read, f.era, f.at = true, w.era, w.revision
}

// After any series of reports, crashes, restorations and readings no front uses a process that it has read
// to be leaving, nor one that it has read to be replaced, and in the end all fronts use the targets that run
// and don't leave.
func TestPropertyTargetsOrderTheirReports(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		w := &world{items: map[string]*spec.Replica{}, renewed: map[string]time.Duration{}, live: map[string]*spec.Replica{}, revision: 1, era: 1}
		fs := make([]*follower, 3)
		for i := range fs {
			fs[i] = &follower{list: roster.New(), left: map[string]bool{}, newest: map[string]int64{}}
		}
		w.pass(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			f := fs[rapid.IntRange(0, len(fs)-1).Draw(t, "front")]
			switch rapid.SampledFrom([]string{"start", "leave", "crash", "pass", "pass", "follow", "follow", "read", "adopt", "restore"}).Draw(t, "action") {
			case "start":
				w.start(id) // a process that runs under the id has crashed
			case "leave":
				w.leave(id)
			case "crash":
				delete(w.live, id)
			case "pass":
				w.pass(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case "follow":
				f.follow(w, false)
			case "read":
				f.follow(w, true)
			case "adopt":
				p := fs[rapid.IntRange(0, len(fs)-1).Draw(t, "peer")].list
				d := p.Directory(w.now)
				if f.list.AdoptPeer(w.now, p.Age(w.now), d) {
					for _, r := range d.Replicas {
						if r.WithheldMs == 0 {
							f.note(r)
						}
					}
				}
			case "restore":
				w.restore(rapid.IntRange(0, 6).Draw(t, "age"))
			}
			for _, f := range fs {
				for _, r := range f.list.Replicas(w.now) {
					if !r.Leaving && (f.left[fmt.Sprint(r.Id, r.Born)] || r.Born < f.newest[r.Id]) {
						t.Fatalf("uses %s of process %d, which leaves or was replaced by %d", r.Id, r.Born, f.newest[r.Id])
					}
				}
			}
		}
		for range 10 {
			w.pass(1300 * time.Millisecond)
			for _, f := range fs {
				f.follow(w, false)
			}
		}
		for i, f := range fs {
			got, want := map[string]int64{}, map[string]int64{}
			for _, r := range f.list.Replicas(w.now) {
				if !r.Leaving {
					got[r.Id] = r.Born
				}
			}
			for id, r := range w.live {
				if !r.Leaving {
					want[id] = r.Born
				}
			}
			if !maps.Equal(got, want) {
				t.Fatalf("front %d uses %v in the end, want %v", i, got, want)
			}
		}
	})
}
