package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// claim is one submission of an id: the input of an operation.
type claim struct{ id int }

// claims says that each id is answered at most once: the state of an id is
// whether it has been.
var claims = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[int][]porcupine.Operation)
		for _, o := range h {
			n := o.Input.(claim).id
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

// TestClaims submits each of many ids several times at once, at two entries, and
// checks that the history is one in which an id is taken once.
func TestClaims(t *testing.T) {
	b := newBench(t)
	f := newFake(true)
	b.service("intake-1", f, 8)
	b.service("intake-2", f, 8)
	e1, e2 := b.entry("entry-1"), b.entry("entry-2")
	b.begin(e1, e2)
	const ids, times = 20, 6
	f.came = make(chan string, ids*times)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var g sync.WaitGroup
	for n := range ids {
		id := "Kingcupstand-Request-Id: " + b.newID(e1)
		for k := range times {
			u := []string{e1.URL, e2.URL}[k%2] + strict
			g.Go(func() {
				from := time.Since(start)
				r := b.send("POST", u, fmt.Sprint("call ", n), id)
				to := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: n*times + k, Input: claim{n}, Call: int64(from), Output: r.status, Return: int64(to),
				})
			})
		}
	}
	g.Wait()
	if !porcupine.CheckOperations(claims, history) {
		t.Errorf("an id was taken more than once, or never: %v", history)
	}
	for n := range ids {
		if c := f.count(fmt.Sprint("call ", n)); c != 1 {
			t.Errorf("call %d ran %d times", n, c)
		}
	}
}
