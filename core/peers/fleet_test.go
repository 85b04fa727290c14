package peers_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"kingcupstand/core/peers"
)

// interval is the time between two heartbeats of a front, and nearInterval between those to the
// fronts of its data centre.
const (
	interval     = 250 * time.Millisecond
	nearInterval = 100 * time.Millisecond
)

// delivery is a heartbeat on its way.
type delivery struct {
	beat      peers.Heartbeat
	sightings []peers.Sighting
	to        int
}

// cluster is a set of fronts that exchange heartbeats in virtual time.
type cluster struct {
	// zones is the number of data centres.
	zones  int
	random *rand.Rand
	names  []string
	index  map[string]int
	tables []*peers.Table
	// beats is how many heartbeats each front has sent, and stopped those that send none.
	beats   []uint64
	stopped map[int]bool
	// loss is the share of datagrams that is lost, and cut reports whether two fronts are
	// partitioned from each other.
	loss float64
	cut  func(i, j int) bool
	now  time.Duration
	// sent holds the heartbeats on their way, by the step in which they arrive.
	sent map[time.Duration][]delivery
}

// step is the resolution of the virtual time. A heartbeat is on its way for one or two steps.
const step = 10 * time.Millisecond

// newCluster returns n fronts that know each other's names.
func newCluster(n, zones int, loss float64) *cluster {
	c := &cluster{
		zones: zones, random: rand.New(rand.NewPCG(1, uint64(n))), index: map[string]int{}, beats: make([]uint64, n), loss: loss,
		stopped: map[int]bool{}, cut: func(int, int) bool { return false }, sent: map[time.Duration][]delivery{},
	}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("192.0.%d.%d:7600", 2+i/250, i%250))
		c.index[c.names[i]] = i
	}
	for i := range n {
		t := peers.New(c.names[i], c.zone(i), nil)
		for j := range n {
			t.Observe(0, peers.Heartbeat{Peer: c.names[j], Incarnation: 1000, DataCentre: c.zone(j)})
		}
		c.tables = append(c.tables, t)
	}
	return c
}

// zone returns the data centre of a front.
func (c *cluster) zone(i int) uint32 { return uint32(i%c.zones) + 1 }

// run advances the time by d and calls each after every second of it.
func (c *cluster) run(d time.Duration, each func()) {
	n := len(c.names)
	for end := c.now + d; c.now < end; {
		c.now += step
		for _, v := range c.sent[c.now] {
			if t := c.tables[v.to]; t.Observe(c.now, v.beat) {
				t.ObserveSightings(c.now, v.sightings)
			}
		}
		delete(c.sent, c.now)
		for i := range n {
			// Heartbeats are spread over the interval.
			at := c.now + time.Duration(i)*step
			if far, near := at%interval == 0, at%nearInterval == 0 && c.tables[i].Regional(c.now); (far || near) && !c.stopped[i] {
				c.send(i, far, near)
			}
		}
		if c.now%time.Second == 0 {
			each()
		}
	}
}

// send sends the heartbeat of a front to far or near peers, or both.
func (c *cluster) send(i int, far, near bool) {
	t := c.tables[i]
	c.beats[i]++
	b := peers.Heartbeat{Peer: c.names[i], Incarnation: 1000, Sequence: c.beats[i], DataCentre: c.zone(i), Peers: t.Sample(c.now, c.random)}
	ss := t.Sightings(c.now, c.random)
	var nears, to []string
	if t.Regional(c.now) {
		nears = t.Near(c.now)
	}
	if near {
		to = t.NearRecipients(c.random, nears, nil)
	}
	if far {
		to = append(to, t.Recipients(c.random, nears, nil)...)
	}
	for _, a := range to {
		j := c.index[a]
		if c.stopped[j] || c.cut(i, j) || c.random.Float64() < c.loss {
			continue
		}
		at := c.now + step*time.Duration(1+c.random.IntN(2))
		c.sent[at] = append(c.sent[at], delivery{b, ss, j})
	}
}

// missing returns how many pairs of fronts there are for which has is true and of which the
// first doesn't count the second as live.
func (c *cluster) missing(has func(i, j int) bool) (missing, pairs int) {
	for i, t := range c.tables {
		for j, a := range c.names {
			if i == j || c.stopped[i] || !has(i, j) {
				continue
			}
			pairs++
			if !t.Alive(c.now, a) {
				missing++
			}
		}
	}
	return missing, pairs
}

// fleets are the numbers of fronts and data centres that the promises are checked for.
var fleets = []struct{ fronts, zones int }{{68, 6}, {68, 1}, {300, 1}, {300, 6}, {1000, 1}}

func all(int, int) bool { return true }

// A heartbeat reaches few peers of a large fleet. Live fronts must not count as dead for that,
// also if datagrams are lost, and a front that is killed must be noticed by all within 3 s.
func TestLiveFrontsCountAsLiveInLargeFleets(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d in %d", f.fronts, f.zones), func(t *testing.T) {
			t.Parallel()
			n := f.fronts
			c := newCluster(n, f.zones, 0.05)
			c.run(3*time.Second, func() {})
			dead, checked := 0, 0
			c.run(6*time.Second, func() {
				m, p := c.missing(all)
				dead, checked = dead+m, checked+p
			})
			t.Logf("%d of %d live fronts counted as dead", dead, checked)
			if dead*1000 > checked {
				t.Errorf("%d of %d live fronts counted as dead, want at most 1 in 1,000", dead, checked)
			}
			c.stopped[0] = true
			c.run(3*time.Second, func() {})
			if m, p := c.missing(func(_, j int) bool { return j == 0 }); m < p {
				t.Errorf("%d of %d fronts count a killed front as live after 3s, want none", p-m, p)
			}
		})
	}
}

// Each side of a partition sees the other one as gone, and its own as live.
func TestPartitionIsSeenFromBothSides(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d in %d", f.fronts, f.zones), func(t *testing.T) {
			t.Parallel()
			n := f.fronts
			c := newCluster(n, f.zones, 0.05)
			c.run(3*time.Second, func() {})
			side := func(i int) bool { return i < n/3 }
			c.cut = func(i, j int) bool { return side(i) != side(j) }
			c.run(3*time.Second, func() {})
			other := func(i, j int) bool { return side(i) != side(j) }
			if m, p := c.missing(other); m < p {
				t.Errorf("%d of %d fronts behind the partition count as live after 3s, want none", p-m, p)
			}
			dead, checked := 0, 0
			c.run(3*time.Second, func() {
				m, p := c.missing(func(i, j int) bool { return !other(i, j) })
				dead, checked = dead+m, checked+p
			})
			if dead*1000 > checked {
				t.Errorf("%d of %d live fronts of the own side counted as dead, want at most 1 in 1,000", dead, checked)
			}
			for i, p := range c.tables {
				if _, total := p.Count(c.now); total != n {
					t.Errorf("front %d counts %d that may be serving, want %d", i, total, n)
					break
				}
			}
		})
	}
}

// In a fleet that a heartbeat doesn't reach as a whole, all near peers get heartbeats of their
// own, and the others go to peers elsewhere. A smaller fleet, or one in a single data centre,
// sends to any.
func TestRecipientsOfLargeFleet(t *testing.T) {
	for _, f := range []struct {
		fronts, zones, near, far int
	}{{68, 6, 11, 13}, {68, 1, 0, 24}, {20, 4, 0, 19}, {400, 8, 24, 12}} {
		c := newCluster(f.fronts, f.zones, 0)
		p := c.tables[0]
		var near []string
		if p.Regional(0) {
			near = p.Near(0)
		}
		to, far := p.NearRecipients(c.random, near, nil), p.Recipients(c.random, near, nil)
		if len(to) != f.near || len(far) != f.far {
			t.Errorf("%d fronts in %d data centres: %d near and %d other recipients, want %d and %d", f.fronts, f.zones, len(to), len(far), f.near, f.far)
		}
		for _, a := range far {
			if f.near > 0 && c.zone(c.index[a]) == c.zone(0) {
				t.Errorf("%d fronts: near peer %s is among the others", f.fronts, a)
			}
		}
	}
}
