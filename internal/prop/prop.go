// Package prop runs rapid's property tests with a fixed seed, so that a test has the same
// result every time.
//
// # Usage
//
//	func TestX(t *testing.T) { prop.Check(t, func(t *rapid.T) { ... }) }
//
// The flags -rapid.seed and -rapid.checks still select other seeds and more cases:
//
//	go test ./core/gate -run Property -rapid.checks=100000 -rapid.seed=7
package prop

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed replaces the default of -rapid.seed, 0, with which rapid draws a random one.
const defaultSeed = "20261203"

var seedOnce sync.Once

// Check is rapid.Check with defaultSeed, unless -rapid.seed is set to a seed other than 0.
func Check(t *testing.T, f func(*rapid.T)) {
	t.Helper()
	seedOnce.Do(func() {
		if l := flag.Lookup("rapid.seed"); l != nil && l.Value.String() == "0" {
			_ = l.Value.Set(defaultSeed)
		}
	})
	rapid.Check(t, f)
}
