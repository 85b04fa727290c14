package gate

import (
	"time"

	"kingcupstand/core/call"
)

// shedHold holds back the tiers below one that was shed. Without it, a request of a
// lower tier that arrives a moment later would run where one of a higher tier was
// refused.
type shedHold struct {
	shed  call.Rank
	until time.Duration
}

// rank returns the rank of the shed tier, or 0 if no tier is held back.
func (h shedHold) rank(now time.Duration) call.Rank {
	if now >= h.until {
		return 0
	}
	return h.shed
}

// blocks reports whether requests of rank r are held back.
func (h shedHold) blocks(now time.Duration, r call.Rank) bool {
	s := h.rank(now)
	return s != 0 && r.Below(s)
}

// extend returns the hold after a request of rank r was shed. A higher tier
// replaces a lower one; a lower tier does not shorten the hold of a higher one.
func (h shedHold) extend(now time.Duration, r call.Rank, hold time.Duration) shedHold {
	if s := h.rank(now); s != 0 && r.Below(s) {
		return h
	}
	return shedHold{shed: r, until: now + hold}
}
