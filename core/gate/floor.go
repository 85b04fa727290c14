package gate

import (
	"time"

	"kingcupstand/core/call"
)

// floor holds back the tiers below one that was shed. Without it a lower tier's
// request that arrives a moment later would run where a higher one was refused.
type floor struct {
	shed  call.Rank
	until time.Duration
}

// rank returns the shed tier, or 0 when nothing is held back.
func (f floor) rank(now time.Duration) call.Rank {
	if now >= f.until {
		return 0
	}
	return f.shed
}

// blocks reports whether requests of rank r are held back.
func (f floor) blocks(now time.Duration, r call.Rank) bool {
	s := f.rank(now)
	return s != 0 && r.Below(s)
}

// raise returns the floor after a request of rank r was shed. A higher tier
// replaces a lower one; a lower tier never shortens a higher one's hold.
func (f floor) raise(now time.Duration, r call.Rank, hold time.Duration) floor {
	if s := f.rank(now); s != 0 && r.Below(s) {
		return f
	}
	return floor{shed: r, until: now + hold}
}
