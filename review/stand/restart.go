package main

import (
	"strconv"
	"sync"
	"time"
)

const (
	// contact is contact_ms.
	contact = 3 * time.Second
	// down is for how long all fronts are gone.
	down = time.Second
	// tries is how often a requester sends one request, the first time included.
	tries = 4
)

// restart kills all fronts at once and starts them again a second later. Of the streams that requesters
// take up again once the fronts are in touch, the share that goes on must not be under half of that of new
// streams that begin.
func restart(w *world) (bool, error) {
	if err := w.begin(2, edgeMemory, planners(6, 150*time.Millisecond, false)); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	var mu sync.Mutex
	var back time.Time // when the fronts were started again
	taken, on := map[string]bool{}, map[string]bool{}
	fresh, begun := 0, 0
	requester := func(n int) {
		q := stream("/plan/week")()
		first := time.Now()
		for try := 0; try < tries; {
			f := (n + try) % len(w.fronts)
			q.id, q.limit = w.id(), 15*time.Second-time.Since(first)
			if q.limit <= 0 {
				return
			}
			sent := time.Now()
			o := request(w.fronts[f].callers, q)
			w.noteOutcome(f, o)
			es := len(o.events())
			mu.Lock()
			inTouch := !back.IsZero() && sent.Sub(back) > contact
			switch {
			case q.first != "" && o.status != 0:
				taken[q.first] = taken[q.first] || inTouch
				on[q.first] = on[q.first] || es > 0
			case q.first == "" && inTouch:
				fresh++
				if es > 0 {
					begun++
				}
			}
			mu.Unlock()
			if o.status != 0 {
				try++
			}
			if es > 0 {
				if q.first == "" {
					q.first = o.id
				}
				last, _ := strconv.Atoi(q.last)
				q.last = strconv.Itoa(last + es)
			}
			if o.whole && o.status == 200 {
				return
			}
			time.Sleep(max(min(o.retryAfter, (15*time.Second-time.Since(first))/3), 200*time.Millisecond))
		}
	}
	stop := time.After(28 * time.Second)
	t := time.NewTicker(time.Second / 5)
	defer t.Stop()
	fault := time.After(10 * time.Second)
	for n := 0; ; n++ {
		select {
		case <-fault:
			if !w.trouble {
				continue
			}
			w.note("all fronts are killed")
			for _, f := range w.fronts {
				f.kill()
			}
			time.Sleep(down)
			for _, f := range w.fronts {
				if err := f.start(); err != nil {
					return false, err
				}
			}
			mu.Lock()
			back = time.Now()
			mu.Unlock()
			w.note("all fronts are started again")
			continue
		case <-stop:
			g.Wait()
		case <-t.C:
			g.Go(func() { requester(n) })
			continue
		}
		break
	}
	streams, went := 0, 0
	for id, ok := range taken {
		if ok {
			streams++
			if on[id] {
				went++
			}
		}
	}
	w.say("%d streams taken up again at fronts in touch, %d of them went on; of %d new ones %d began", streams, went, fresh, begun)
	return streams >= 12 && float64(went)/float64(streams) < float64(begun)/float64(max(1, fresh))/2, nil
}
