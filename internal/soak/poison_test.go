package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kingcupstand/internal/fleet"
	"kingcupstand/internal/stand"
)

// Parts of prompts: the first of all, the one that crashes replicas, and the format of those
// that some requests share and of those that none share.
const (
	firstPart    = "a000000000000001:20"
	poisonPart   = "dead00000000beef"
	sharedPart   = "b%015x:10"
	ownPart      = "c%015x:20"
	sharedParts  = 4
	sharedChance = 3 // one in so many requests has a shared part
	poisonChance = 8 // one in so many has the poisoned part
	// poisonPath is the path of the requests that crash replicas if a whole request does.
	poisonPath = "/chat/crash"
)

// Times of the poisoned part and of crashed replicas, and bounds of the users.
const (
	minPoisonStart = time.Second
	maxPoisonStart = 3 * time.Second
	poisonTime     = 12 * time.Second
	// calmTime is how long the part is sent after the last other fault has begun.
	calmTime = 6 * time.Second
	// manyCrashes is the number of crashes after which only fewPoisoned requests with the part
	// may reach replicas, and manyRequestCrashes that of a whole request.
	manyCrashes        = 5
	manyRequestCrashes = 3
	fewPoisoned        = 3
	// fewSound is the number of requests from which the share of served ones is checked.
	fewSound = 20
)

// poison is the state of the poisoned part, or of the request that crashes replicas.
type poison struct {
	random *rand.Rand
	// request is true if a whole request, which callers repeat, crashes replicas instead of a part.
	request bool
	// starting is locked while a replica starts: its id and address are chosen by the number
	// of replicas.
	starting sync.Mutex
	// on is true while callers send the part.
	on atomic.Bool
	// over is true when the part crashes no replica any more. The mutex of the harness guards
	// it and crashes.
	over    bool
	crashes []time.Time
	// sent is the time in which callers sent the part.
	sent span
}

// replica is a replica with its place among the others.
type replica struct {
	*stand.Replica
	service string
	// slot is the index of the first replica that it has followed.
	slot  int
	relay *fleet.Relay
	// cut is the index of the relay among those that are disturbed, or 0 if it never is.
	cut int
	// from is when it was registered; zero if before all requests. crashed is zero if it
	// didn't crash.
	from, crashed time.Time
}

// serves reports whether the replica was registered early enough for an attempt, so that
// fronts may know it, and didn't crash before its end.
func (r *replica) serves(o outcome) bool {
	return (r.from.IsZero() || r.from.Add(contactTime).Before(o.sent)) && (r.crashed.IsZero() || r.crashed.After(o.ended))
}

// cuts returns when the replica's relay was disturbed.
func (h *harness) cuts(r *replica) []span {
	if r.cut == 0 {
		return nil
	}
	return h.cut[r.cut]
}

// replicaAddress returns the address of the replica with an index. After a crash no other
// server takes it.
func (h *harness) replicaAddress(i int) string { return h.address(fronts+i%200, i/200) }

// replica starts a replica that isn't registered yet.
func (h *harness) replica(address, service, version string) (*replica, error) {
	n := 0
	if service == "llm" {
		n = streamEvents
	}
	h.mu.Lock()
	id := fmt.Sprintf("i-%d", len(h.replicas))
	h.mu.Unlock()
	s, err := stand.NewReplicaAt(address, id, n, 10*time.Millisecond)
	if err != nil {
		return nil, err
	}
	s.Version = version
	h.t.Cleanup(func() { _ = s.Close() })
	return &replica{Replica: s, service: service}, nil
}

// register adds a replica and lists it in the store.
func (h *harness) register(r *replica) {
	h.mu.Lock()
	h.replicas = append(h.replicas, r)
	h.mu.Unlock()
	cold := time.Duration(0)
	if !r.from.IsZero() {
		cold = warmUpTime
	}
	h.store.Put("servers/"+r.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":"ready","cold_remaining_ms":%d}`,
		r.service, r.relay.Address(), zones[r.slot], r.Version, cold.Milliseconds()))
}

// latest returns the replica that is or was last in a slot, and its index.
func (h *harness) latest(slot int) (int, *replica) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.replicas) - 1
	for h.replicas[i].slot != slot {
		i--
	}
	return i, h.replicas[i]
}

// crashUnder makes a part of prompts, or a whole request, crash a replica.
func (h *harness) crashUnder(r *replica) {
	then := func(at time.Time) { h.restart(r, at) }
	if !h.poison.request {
		r.SetPoison(poisonPart, then)
		return
	}
	r.SetPoison("", then)
	r.SetCrashingRequest(func(q *http.Request, _ string) bool { return q.URL.Path == poisonPath })
}

// runPoison makes a part of prompts crash the replicas of streams, from a random moment until
// calmTime after end or for poisonTime, whichever is longer.
func (h *harness) runPoison(end time.Time) {
	h.mu.Lock()
	d := minPoisonStart + time.Duration(h.poison.random.Int64N(int64(maxPoisonStart-minPoisonStart)))
	h.mu.Unlock()
	time.Sleep(d)
	for i := range versions {
		if _, r := h.latest(i); r.Events > 0 {
			h.crashUnder(r)
		}
	}
	h.poison.sent.from = time.Now()
	h.poison.on.Store(true)
	time.Sleep(max(poisonTime, time.Until(end)+calmTime))
	h.poison.on.Store(false)
	h.poison.sent.to = time.Now()
	h.mu.Lock()
	h.poison.over = true
	rs := slices.Clone(h.replicas)
	h.mu.Unlock()
	for _, r := range rs {
		if r.Events > 0 {
			r.SetPoison("", func(at time.Time) { h.restart(r, at) })
			r.SetCrashingRequest(nil)
		}
	}
	time.Sleep(200 * time.Millisecond) // replicas that took the part before may still crash
}

// restart brings a crashed replica back with a new id, behind the same relay or a new one. The
// store lists the old one for some more seconds.
func (h *harness) restart(r *replica, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.crashed = at
	h.poison.crashes = append(h.poison.crashes, at)
	back := time.Second + time.Duration(h.poison.random.Int64N(int64(2*time.Second)))
	listed := 2*time.Second + time.Duration(h.poison.random.Int64N(int64(2*time.Second)))
	same := h.poison.random.IntN(2) == 0
	h.faults.Go(func() {
		time.Sleep(back)
		if err := h.follow(r, same); err != nil {
			h.t.Errorf("replica after %s: %v", r.ID, err)
			return
		}
		time.Sleep(listed)
		h.store.Delete("servers/" + r.ID)
	})
}

// follow starts and registers the replica that takes the place of a crashed one.
func (h *harness) follow(r *replica, sameRelay bool) error {
	h.poison.starting.Lock()
	defer h.poison.starting.Unlock()
	h.mu.Lock()
	address := h.replicaAddress(len(h.replicas))
	h.mu.Unlock()
	if sameRelay {
		address = r.Address()
	}
	n, err := h.replica(address, r.service, r.Version)
	if err != nil {
		return err
	}
	n.slot, n.relay, n.cut, n.from = r.slot, r.relay, r.cut, time.Now()
	if !sameRelay {
		n.cut = 0
		if n.relay, err = fleet.NewRelay(address); err != nil {
			return err
		}
		h.t.Cleanup(n.relay.Close)
	}
	h.mu.Lock()
	if !h.poison.over {
		h.crashUnder(n)
	}
	h.mu.Unlock()
	h.register(n)
	return nil
}

// prompt draws the parts of the prompt of a caller's request, and whether it is poisoned.
func (h *harness) prompt(r *rand.Rand, caller, request int) (parts string, poisoned bool) {
	shared, poisoned := r.IntN(sharedChance) == 0, r.IntN(poisonChance) == 0 && h.poison.on.Load()
	k := r.IntN(sharedParts)
	parts = firstPart
	if shared {
		parts += fmt.Sprintf(","+sharedPart, k)
	}
	if poisoned && !h.poison.request {
		parts += "," + poisonPart + ":10"
	}
	return parts + fmt.Sprintf(","+ownPart, caller<<32+request), poisoned
}

// withPrompt names the parts of a prompt, if any, in the headers of a request.
func withPrompt(parts string) func(http.Header) {
	return func(h http.Header) {
		if parts != "" {
			h.Set(stand.HeaderParts, parts)
		}
	}
}

// manyCrashes returns the number of crashes after which few requests may reach replicas.
func (h *harness) manyCrashes() int {
	if h.poison.request {
		return manyRequestCrashes
	}
	return manyCrashes
}

// checkPoison checks that after manyCrashes few requests with the poisoned part reach replicas,
// that sound requests with the same first part are served nevertheless, and that refusals name
// the time of a retry and haven't run.
func (h *harness) checkPoison() {
	slices.SortFunc(h.poison.crashes, time.Time.Compare)
	n := len(h.poison.crashes)
	refused := 0
	for _, o := range h.outcomes {
		if !o.poisoned || o.status != http.StatusServiceUnavailable && o.status != http.StatusTooManyRequests {
			continue
		}
		refused++
		if ran := h.runs(o.id); o.status != http.StatusServiceUnavailable || o.header.Get("Retry-After") == "" || ran > 0 {
			h.t.Errorf("%s with the poisoned part: got status %d %q, Retry-After %q, and it ran %d times, want 503 with Retry-After and no run",
				o.id, o.status, o.body, o.header.Get("Retry-After"), ran)
			for _, p := range h.fronts {
				p.showLog(0, o.id)
			}
		}
	}
	h.t.Logf("%d crashes by the poisoned part in %v, %d requests with it refused", n, h.poison.sent.to.Sub(h.poison.sent.from), refused)
	if n == 0 {
		h.t.Error("no replica crashed, so nothing was checked")
		return
	}
	if n >= h.manyCrashes() {
		h.checkPoisoned(h.poison.crashes[h.manyCrashes()-1])
	}
	h.checkSound(h.poison.crashes[0], h.poison.crashes[min(n, h.manyCrashes())-1])
}

// checkPoisoned checks the number of requests with the part that reach replicas later than
// contactTime after the crash that is the last of manyCrashes.
func (h *harness) checkPoisoned(last time.Time) {
	front := map[string]int{}
	for _, o := range h.outcomes {
		if o.poisoned {
			front[o.id] = o.front
		}
	}
	reached, all := 0, 0
	for _, r := range h.replicas {
		for _, a := range r.Arrivals() {
			f, ok := front[a.ID]
			if !ok || !a.At.After(last.Add(contactTime)) {
				continue
			}
			all++
			w := span{a.At, a.At}
			if !excused(h.disturbed[f], w) && !excused(h.cut[0], w) && !excused(h.cuts(r), w) {
				reached++
			}
		}
	}
	h.t.Logf("later than %v after crash %d: %d requests with the poisoned part reached replicas, %d of them from undisturbed fronts", contactTime, h.manyCrashes(), all, reached)
	if reached > fewPoisoned {
		h.t.Errorf("later than %v after crash %d undisturbed fronts sent %d requests with the poisoned part to replicas, want at most %d",
			contactTime, h.manyCrashes(), reached, fewPoisoned)
	}
}

// checkSound checks that from two contactTimes after the last crash that counts, while the
// poisoned part still comes, sound requests are served at least half as often as before the
// first crash. While all replicas of streams are down, drained, limited or warming up, it asks for half of
// what their rates permit.
func (h *harness) checkSound(first, last time.Time) {
	var sent, served [2]float64 // before and after
	var ready [fronts]bool
	asked := 0.0
	os := slices.Clone(h.outcomes)
	slices.SortFunc(os, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for _, o := range os {
		ok := o.status == http.StatusOK && o.complete
		ready[o.front] = ready[o.front] || ok // a front that is starting would lower the bound
		after := o.sent.After(last.Add(2*contactTime)) && o.sent.Before(h.poison.sent.to)
		if !strings.HasPrefix(o.path, "/chat/") || o.poisoned || o.resumed > 0 || !ready[o.front] || !after && !o.ended.Before(first) || h.overlapped(o) {
			continue
		}
		i := 0
		if after {
			i = 1
			asked += h.permitted(o)
		}
		sent[i]++
		if ok {
			served[i]++
		}
	}
	h.t.Logf("sound requests at undisturbed fronts: %.0f of %.0f served before the first crash, %.0f of %.0f in the end, where replicas permitted %.1f", served[0], sent[0], served[1], sent[1], asked)
	if min(sent[0], sent[1]) >= fewSound && served[1]/asked < served[0]/sent[0]/2 {
		h.t.Errorf("%.0f of %.0f sound requests, of which replicas permitted %.1f, are served from %v after the crashes, but %.0f of %.0f before", served[1], sent[1], asked, 2*contactTime, served[0], sent[0])
	}
}

// permitted returns the share of the sound attempts in the second around an attempt that the
// replicas of streams permit: 1 while any of them serves that has neither a limit nor a warm-up.
func (h *harness) permitted(o outcome) float64 {
	rate := 0.0
	for i, r := range h.replicas {
		if r.Events == 0 || r.from.After(o.sent) || !r.crashed.IsZero() && !r.crashed.After(o.sent) {
			continue
		}
		n, drained := math.Inf(1), false
		if !r.from.IsZero() && o.sent.Before(r.from.Add(warmUpTime)) {
			n = warmUpRate
		}
		for _, d := range h.drains {
			if zones[r.slot] == drainedZone && !o.sent.Before(d.from) && o.sent.Before(d.to.Add(warmUpTime)) {
				n = warmUpRate
				drained = drained || o.sent.Before(d.to)
			}
		}
		for _, l := range h.limits {
			if l.replica == i && !o.sent.Before(l.from) && o.sent.Before(l.to) {
				n = min(n, l.perSecond)
			}
		}
		if !drained {
			rate += n
		}
	}
	sent := 0.0
	for _, a := range h.outcomes {
		if strings.HasPrefix(a.path, "/chat/") && !a.poisoned && a.sent.Sub(o.sent).Abs() < time.Second/2 {
			sent++
		}
	}
	return min(1, rate/sent)
}

// overlapped reports whether a disturbance of its front, or of the relay of the store or of a
// replica of streams, overlaps an attempt.
func (h *harness) overlapped(o outcome) bool {
	w := span{o.sent, o.ended}
	return excused(h.disturbed[o.front], w) || slices.ContainsFunc(h.cut[0], w.overlaps) ||
		slices.ContainsFunc(h.replicas, func(r *replica) bool { return r.Events > 0 && slices.ContainsFunc(h.cuts(r), w.overlaps) })
}
