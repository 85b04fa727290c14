package bench

// fifo is a baseline: requests go to an engine at once and run in arrival order,
// whatever their tier and deadline.
type fifo struct {
	*simulation
	policy Policy
	next   int
	// reported is the load that the balancer knows of.
	reported []int
	down     []bool
}

func newFIFO(w *simulation, p Policy) *fifo {
	f := &fifo{simulation: w, policy: p, reported: make([]int, len(w.engines)), down: make([]bool, len(w.engines))}
	if p == LeastLoad {
		f.report()
	}
	return f
}

// report brings the engines' loads to the balancer after the scenario's lag.
func (f *fifo) report() {
	for i, e := range f.engines {
		n := len(e.running) + len(e.waiting)
		f.after(f.scenario.reportLag+hop, func() { f.reported[i] = n })
	}
	f.after(reportEvery, f.report)
}

func (f *fifo) submit(r *request) {
	i := f.choose()
	f.after(hop, func() {
		e := f.engines[i]
		if e.dead {
			r.lost = !f.down[i]
			return
		}
		e.submit(&task{r: r, began: func() { r.first = f.now + hop }, ended: func() { r.done = f.now + hop }})
	})
}

// choose returns the engine that is next in turn among those with the least load.
func (f *fifo) choose() int {
	best := -1
	for k := range f.engines {
		i := (f.next + k) % len(f.engines)
		if f.down[i] {
			continue
		}
		if best < 0 || (f.policy == LeastLoad && f.reported[i] < f.reported[best]) {
			best = i
		}
	}
	f.next = best + 1
	return best
}

func (f *fifo) died(i int) {
	f.after(noticeDeath, func() { f.down[i] = true })
}

func (f *fifo) inversions() int { return 0 }

var _ system = (*fifo)(nil)
