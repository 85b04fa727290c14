package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// slowTime is the time after which a body that is being received, and hasn't grown by slowBytes in it, is
	// slow.
	slowTime  = time.Second
	slowBytes = 16 << 10
	// scanInterval is the least time between two searches for slow bodies, as many bodies may find no room at
	// once. Each search makes room for one of them.
	scanInterval = 10 * time.Millisecond
)

// Intake holds the bodies that are being received. A body that its caller doesn't go on sending is slow. It
// holds its memory for as long as there is room, and is given up once another body needs the room: those of
// less urgent ranks first, of one rank the oldest first. It is safe for concurrent use. Times are on one
// monotonic clock.
type Intake struct {
	account *Account
	mu      sync.Mutex
	open    map[*Body]struct{}
	// nextScan is the earliest time of the next search for slow bodies.
	nextScan time.Duration
}

// NewIntake returns an Intake without bodies, which holds their memory in an account.
func NewIntake(a *Account) *Intake { return &Intake{account: a, open: map[*Body]struct{}{}} }

// Body is a body that is being received. Its fields are guarded by the Intake.
type Body struct {
	rank  int
	began time.Duration
	// held are the bytes of memory that are reserved for it.
	held int64
	// since are the bytes received since mark, which is when it had last grown by slowBytes.
	since int64
	mark  time.Duration
	// waiting is true if it is left unread for lack of memory.
	waiting bool
	// evict ends its receipt, and evicted is true after that.
	evict   func()
	evicted bool
}

// Open adds a body of a rank. Evict is called, at most once, if it is given up, and must not block.
func (s *Intake) Open(now time.Duration, rank int, evict func()) *Body {
	b := &Body{rank: rank, began: now, mark: now, evict: evict}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[b] = struct{}{}
	return b
}

// Reserve takes n bytes for a body that is about to be read. It reports false, and takes nothing, if there is
// no room. There may be later, as slow bodies are then given up.
func (s *Intake) Reserve(now time.Duration, b *Body, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.account.Extend(Bodies, b.rank, b.held, n) {
		b.waiting = true
		s.makeRoom(now, n)
		return false
	}
	b.held += n
	if b.waiting {
		b.waiting, b.mark, b.since = false, now, 0
	}
	return true
}

// Received records that n more bytes of a body were read.
func (s *Intake) Received(now time.Duration, b *Body, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.since += int64(n); b.since >= slowBytes {
		b.mark, b.since = now, 0
	}
}

// Close removes a body that is not being received any more. It returns the memory that the body holds, which
// the caller has to release, and whether the body was given up.
func (s *Intake) Close(b *Body) (held int64, evicted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, b)
	return b.held, b.evicted
}

// EvictSlow gives up at most n slow bodies and returns their number.
func (s *Intake) EvictSlow(now time.Duration, n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	bs := s.slow(now)
	bs = bs[:min(n, len(bs))]
	for _, b := range bs {
		b.giveUp()
	}
	return len(bs)
}

// makeRoom gives slow bodies up until they hold n bytes together, with those that were given up before and
// still hold theirs.
func (s *Intake) makeRoom(now time.Duration, n int64) {
	if now < s.nextScan {
		return
	}
	s.nextScan = now + scanInterval
	for b := range s.open {
		if b.evicted {
			n -= b.held
		}
	}
	if n <= 0 {
		return
	}
	for _, b := range s.slow(now) {
		if n <= 0 {
			return
		}
		b.giveUp()
		n -= b.held
	}
}

// slow returns the slow bodies in the order in which they are given up.
func (s *Intake) slow(now time.Duration) []*Body {
	var bs []*Body
	for b := range s.open {
		if b.isSlow(now) {
			bs = append(bs, b)
		}
	}
	slices.SortFunc(bs, func(a, b *Body) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.began, b.began))
	})
	return bs
}

func (b *Body) isSlow(now time.Duration) bool {
	return !b.evicted && !b.waiting && now-b.mark >= slowTime
}

func (b *Body) giveUp() {
	b.evicted = true
	b.evict()
}
