// Package memory accounts for the memory that a front holds for requests: their bodies, and responses that
// are read before they are forwarded. Each of them has a bound of its own; the account bounds their sum, so
// that many of them at once don't exceed the memory of the process, which would end all its requests.
//
// # Usage
//
//	a := memory.New(64 << 20)
//	if !a.Reserve(memory.Bodies, rank, size) {
//		// wait, or refuse the request
//	}
//	defer a.Release(memory.Bodies, size)
//
// # Ranks
//
// The room that is left is for the more urgent requests: each rank may fill a smaller part of the account
// than the rank before it. What is small always has some room that long bodies don't take.
//
// # Bodies that are being received
//
// An Intake holds them, and gives those up that their callers don't go on sending, once others need the room.
package memory

import "sync"

// Use is what memory is held for.
type Use int

// Uses of memory.
const (
	Bodies Use = iota
	Responses
	uses
)

// Uses are the names of the uses, for metrics.
var Uses = [uses]string{Bodies: "bodies", Responses: "responses"}

const (
	// rankStep is the part of the account that each rank leaves to the one before it, as a divisor, and
	// maxSteps the number of ranks that it is left for.
	rankStep = 8
	maxSteps = 4
	// Small is the size in bytes below which a reservation may exceed the account, by the part 1/smallRoom.
	Small     = 64 << 10
	smallRoom = 4
)

// Account is the memory that is held, in bytes. It is safe for concurrent use.
type Account struct {
	limit int64
	mu    sync.Mutex
	used  [uses]int64
}

// New returns an Account of limit bytes; 0 means no limit.
func New(limit int64) *Account { return &Account{limit: limit} }

// Reserve takes n bytes for a request of a rank, 0 being the most urgent. It reports false, and takes
// nothing, if there is no room. There is if nothing else is held, however large n is.
func (a *Account) Reserve(u Use, rank int, n int64) bool { return a.Extend(u, rank, 0, n) }

// Extend is Reserve for a request that holds so many bytes already. There is room if nothing is held for other
// requests.
func (a *Account) Extend(u Use, rank int, held, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.total(); a.limit > 0 && t > held && t+n > a.room(rank, n) {
		return false
	}
	a.used[u] += n
	return true
}

// room returns the bytes that may be held in all for a reservation of n bytes to be admitted.
func (a *Account) room(rank int, n int64) int64 {
	if n < Small {
		return a.limit + a.limit/smallRoom
	}
	return a.limit - a.limit/rankStep*int64(min(max(rank, 0), maxSteps))
}

// Release returns n bytes.
func (a *Account) Release(u Use, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[u] -= n
}

// Used returns the bytes that are held for a use.
func (a *Account) Used(u Use) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[u]
}

func (a *Account) total() (n int64) {
	for _, v := range a.used {
		n += v
	}
	return n
}
