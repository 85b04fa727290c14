package call_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupstand/core/call"
	"kingcupstand/internal/prop"
)

func TestParseIDRestoresTicket(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		n := [call.NonceSize]byte(rapid.SliceOfN(rapid.Byte(), call.NonceSize, call.NonceSize).Draw(t, "nonce"))
		k := call.NewTicket(
			rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "target"),
			rapid.Uint64().Draw(t, "incarnation"),
			n,
			time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "expiry")),
		)
		u, err := call.ParseID(k.ID())
		if err != nil || u != k {
			t.Fatalf("ParseID(%q) = %v, %v, want %v", k.ID(), u, err, k)
		}
	})
}

// FuzzParseID checks that only canonical ids are accepted. An agent records requests by
// id, so it could run a request twice if its ticket had two ids.
func FuzzParseID(f *testing.F) {
	f.Add("")
	f.Add("CghpbnRha2UtMRCLjpPyn5iX9H8aEGUYFuZu2aBm-JdgO0xISsYghtwk")
	f.Add("CghpbnRha2UtMRCLjpPyn5iX9H8aEGUYFuZu2aBm-JdgO0xISsYghtwl")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := call.ParseID(call.ID(s))
		if err != nil {
			if !errors.Is(err, call.ErrBadID) {
				t.Fatalf("ParseID(%q): got error %v, want ErrBadID", s, err)
			}
			return
		}
		if k.ID() != call.ID(s) {
			t.Fatalf("ParseID accepted %q, whose canonical form is %q", s, k.ID())
		}
	})
}
