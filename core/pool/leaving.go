package pool

// ObserveLeaving records that the process that was chosen says in a response that it leaves. It
// reports whether that is new. It holds until the ID is listed with another Born or address,
// hence for another process: an entry of the same process that doesn't say so is older.
func (p *Pool) ObserveLeaving(c Choice) bool {
	t := p.targets[c.ID]
	if t == nil {
		u, ok := p.unlisted.Get(c.ID)
		if ok && !u.is(c.Born, c.Address) {
			return false
		}
		u.born, u.address = c.Born, c.Address
		old := u.notices.leaving
		u.notices.leaving = true
		p.unlisted.Add(c.ID, u)
		return !old
	}
	if !t.is(c.Born, c.Address) || t.notices.leaving {
		return false
	}
	t.notices.leaving = true
	t.Leaving = true
	return true
}
