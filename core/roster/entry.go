package roster

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"

	"kingcupstand/schema/spec"
)

// ErrInvalid is wrapped by errors about an entry that is not used.
var ErrInvalid = errors.New("invalid entry")

// Bounds of entries.
const (
	// MaxName is the length in bytes of the longest ID, service, data centre or version. Names are
	// kept, logged, and carried by heartbeats, which peers accept only up to this length.
	MaxName = 200
	// MaxRevision is the highest revision or era of the platform's store: no later change would be followed
	// after a higher one.
	MaxRevision = 1 << 53
	// MaxSlots is far more than any target runs at once.
	MaxSlots = 1 << 16
)

// broadcast is the address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Check returns an error that wraps ErrInvalid if an entry can't be that of a target that requests
// can be sent to. It holds for entries of the platform and of peers, which may run a build with other
// bounds.
func Check(r *spec.Replica) error {
	for _, f := range []struct {
		field, value string
		optional     bool
	}{
		{"id", r.Id, false},
		{"service", r.Service, false},
		{"data centre", r.DataCentre, true},
		{"version", r.Version, true},
	} {
		if err := checkName(f.value, f.optional); err != nil {
			return fmt.Errorf("%s: %w", f.field, err)
		}
	}
	if r.Slots == 0 || r.Slots > MaxSlots {
		return fmt.Errorf("%w: %d slots", ErrInvalid, r.Slots)
	}
	return checkAddress(r.Address)
}

// CheckList returns an error that wraps ErrInvalid if a peer's list has a revision or an era that the
// platform can't have given.
func CheckList(d *spec.Directory) error {
	if max(d.Revision, d.Complete, d.Era) > MaxRevision {
		return fmt.Errorf("%w: list as of revision %d, with all changes up to %d of era %d", ErrInvalid, d.Revision, d.Complete, d.Era)
	}
	return nil
}

// checkName checks a name. The ID is sent in a header, where control characters and spaces around
// it would be lost, and a target runs requests that name no ID.
func checkName(n string, optional bool) error {
	switch {
	case n == "" && !optional:
		return fmt.Errorf("%w: missing", ErrInvalid)
	case len(n) > MaxName:
		return fmt.Errorf("%w: %d bytes", ErrInvalid, len(n))
	case strings.ContainsFunc(n, unicode.IsControl), n != strings.TrimSpace(n):
		return fmt.Errorf("%w: %q has control characters or spaces around it", ErrInvalid, n)
	}
	return nil
}

// checkAddress checks that an address is that of a single host, with a port. A host without an
// address of its own would be this one.
func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%w: address %.60q: expected IP:port", ErrInvalid, s)
	}
	// Unmap drops the zone, which may hold any text.
	if h := a.Addr().Unmap(); a.Port() == 0 || a.Addr().Zone() != "" || h.IsUnspecified() || h.IsMulticast() || h == broadcast {
		return fmt.Errorf("%w: address %.60q: not that of a single host and port", ErrInvalid, s)
	}
	return nil
}
