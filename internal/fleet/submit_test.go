package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// submission is the input of a porcupine operation: one submission of a request id.
type submission struct{ id int }

// onceModel specifies that each id gets at most one 200 response; every submission after
// it gets 409. The state of an id is whether it had its 200 response.
var onceModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[int][]porcupine.Operation)
		for _, o := range h {
			n := o.Input.(submission).id
			byID[n] = append(byID[n], o)
		}
		var l [][]porcupine.Operation
		for _, p := range byID {
			l = append(l, p)
		}
		return l
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		taken := state.(bool)
		switch output.(int) {
		case http.StatusOK:
			return !taken, true
		case http.StatusConflict:
			return taken, taken
		default:
			return false, state
		}
	},
}

// Submits each of many ids several times concurrently at two entries and checks that the
// history is linearizable under onceModel and that each call runs once.
func TestConcurrentSubmissionsRunOnce(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.startService("intake-1", f, 8)
	b.startService("intake-2", f, 8)
	e1, e2 := b.startEntry("entry-1"), b.startEntry("entry-2")
	b.start(e1, e2)
	const ids, times = 20, 6
	f.arrived = make(chan string, ids*times)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var g sync.WaitGroup
	for n := range ids {
		id := "Kingcupstand-Request-Id: " + b.newID(e1)
		for k := range times {
			u := []string{e1.URL, e2.URL}[k%2] + strictPath
			g.Go(func() {
				from := time.Since(start)
				r := b.send("POST", u, fmt.Sprint("call ", n), id)
				to := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: n*times + k, Input: submission{n}, Call: int64(from), Output: r.status, Return: int64(to),
				})
			})
		}
	}
	g.Wait()
	if !porcupine.CheckOperations(onceModel, history) {
		t.Errorf("history is not linearizable; an id ran more than once or never: %v", history)
	}
	for n := range ids {
		if c := f.count(fmt.Sprint("call ", n)); c != 1 {
			t.Errorf("call %d: got %d runs, want 1", n, c)
		}
	}
}
