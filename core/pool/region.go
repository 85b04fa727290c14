package pool

import (
	"time"
)

// DataCentre returns the Hash of this front's data centre.
func (p *Pool) DataCentre() uint32 { return Hash(p.dataCentre) }

// SetRegional sets whether the fronts of each data centre exchange heartbeats more often than
// others, so that this front knows the load of near targets better than that of far ones.
func (p *Pool) SetRegional(regional bool) { p.regional = regional }

// far reports whether the load of a target is known less well because it is in another data
// centre.
func (p *Pool) far(t *target) bool { return p.regional && t.DataCentre != p.dataCentre }

// RefillCredits refills the credits for sending to slots of other fronts, at all targets but the
// far ones. It is called once per round of heartbeats, with the number of live fronts that take
// part in it, this one included.
func (p *Pool) RefillCredits(now time.Duration, fronts int) { p.refill(now, fronts, false) }

// RefillFarCredits is RefillCredits for the far targets.
func (p *Pool) RefillFarCredits(now time.Duration, fronts int) { p.refill(now, fronts, true) }

func (p *Pool) refill(now time.Duration, fronts int, far bool) {
	for _, t := range p.targets {
		if p.far(t) == far {
			t.refillCredits(now, fronts)
		}
	}
}
