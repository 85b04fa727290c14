package pool

// CountLeaving returns the number of targets that leave.
func (p *Pool) CountLeaving() int {
	n := 0
	for _, t := range p.targets {
		if t.Leaving {
			n++
		}
	}
	return n
}

// ObserveLeaving records that the process that was chosen says in a response that it leaves. It
// reports whether that is new. It holds until the ID is listed with another Born or address,
// hence for another process: an entry of the same process that doesn't say so is older.
func (p *Pool) ObserveLeaving(c Choice) bool {
	n := p.noticesOf(c)
	if n == nil || n.leaving {
		return false
	}
	n.leaving = true
	if t := p.targets[c.ID]; t != nil {
		t.Leaving = true
	}
	return true
}
