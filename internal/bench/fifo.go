package bench

// fifo is a baseline without admission control: requests are sent to an engine at once
// and run in order of arrival, whatever their tier and deadline.
type fifo struct {
	*simulation
	policy     Policy
	nextEngine int
	// reportedLoad is each engine's number of tasks as of its last report.
	reportedLoad []int
	down         []bool // engines whose crash has been detected
}

func newFIFO(w *simulation, p Policy) *fifo {
	f := &fifo{simulation: w, policy: p, reportedLoad: make([]int, len(w.engines)), down: make([]bool, len(w.engines))}
	if p == LeastLoad {
		f.report()
	}
	return f
}

// report sends the engines' loads to the balancer, which receives them after the
// scenario's lag.
func (f *fifo) report() {
	for i, e := range f.engines {
		n := len(e.running) + len(e.waiting)
		f.after(f.scenario.reportLag+networkDelay, func() { f.reportedLoad[i] = n })
	}
	f.after(reportInterval, f.report)
}

func (f *fifo) submit(r *request) {
	i := f.choose()
	f.after(networkDelay, func() {
		e := f.engines[i]
		if e.crashed {
			r.lost = !f.down[i]
			return
		}
		e.submit(&task{r: r, onFirstToken: func() { r.firstToken = f.now + networkDelay }, onEnd: func() { r.done = f.now + networkDelay }})
	})
}

// choose returns the engine to send to, in round-robin order; with LeastLoad, only
// among the engines with the least reported load.
func (f *fifo) choose() int {
	best := -1
	for k := range f.engines {
		i := (f.nextEngine + k) % len(f.engines)
		if f.down[i] {
			continue
		}
		if best < 0 || (f.policy == LeastLoad && f.reportedLoad[i] < f.reportedLoad[best]) {
			best = i
		}
	}
	f.nextEngine = best + 1
	return best
}

func (f *fifo) engineCrashed(i int) {
	f.after(crashDetection, func() { f.down[i] = true })
}

func (f *fifo) inversions() int { return 0 }

var _ system = (*fifo)(nil)
