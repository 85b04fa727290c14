// Package prop runs property tests from a fixed seed, so that a test gives the
// same verdict every time.
//
// # Usage
//
//	func TestX(t *testing.T) { prop.Check(t, func(t *rapid.T) { ... }) }
//
// The flags -rapid.seed and -rapid.checks still choose other and more schedules:
//
//	go test ./core/gate -run Property -rapid.checks=100000 -rapid.seed=7
package prop

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is used unless -rapid.seed is given. Rapid takes 0 as random.
const defaultSeed = "20261203"

var seeded sync.Once

// Check is rapid.Check with a fixed default seed.
func Check(t *testing.T, f func(*rapid.T)) {
	t.Helper()
	seeded.Do(func() {
		if l := flag.Lookup("rapid.seed"); l != nil && l.Value.String() == "0" {
			_ = l.Value.Set(defaultSeed)
		}
	})
	rapid.Check(t, f)
}
