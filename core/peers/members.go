package peers

import "time"

// Member is a peer with the hash of its data centre; 0 if no heartbeat has come from it.
type Member struct {
	Name       string
	DataCentre uint32
}

// Members returns the peers that may be running, live or not, in any order: those that haven't
// announced their end, until they are evicted. It changes less than Live and Serving, also during a
// partition. Regional is true if there are more than a heartbeat reaches.
func (t *Table) Members(now time.Duration) (ms []Member, regional bool) {
	for a, e := range t.peers {
		if e.sign.known && (t.alive(now, e) || !e.sign.leaving) {
			ms = append(ms, Member{Name: a, DataCentre: e.last.DataCentre})
		}
	}
	return ms, len(ms) > recipients
}
