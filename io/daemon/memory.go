package daemon

import (
	"runtime/debug"

	"github.com/KimMachineGun/automemlimit/memlimit"
)

const (
	// memoryLimitFraction is the fraction of the process's memory that is set as Go's
	// memory limit. The rest is for memory that the runtime doesn't count: thread stacks
	// and socket buffers.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth in percent that starts a garbage collection. It is
	// below Go's default of 100 because memory is scarcer here than processor time.
	gcPercent = 50
	// defaultMemory is the part of the machine's memory that a process may use if its
	// settings name none, as a divisor.
	defaultMemory = 4
)

// LimitMemory sets the limits of Go's memory for a process that may use so many MiB; 0
// means no limit.
func LimitMemory(mib uint32) {
	debug.SetGCPercent(gcPercent)
	if mib > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(mib) * (1 << 20)))
	}
}

// DefaultMemory returns the memory in MiB of a process whose settings name none: a part of
// that of its container or, without one, of the machine. It is 0 if neither is known.
func DefaultMemory() uint32 {
	n, err := memlimit.FromCgroup()
	if err != nil {
		n, err = memlimit.FromSystem()
	}
	if err != nil {
		return 0
	}
	return uint32(n / defaultMemory >> 20)
}
