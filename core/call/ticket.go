package call

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/wire"
)

// NonceSize is the length of a ticket's random part, in bytes.
const NonceSize = 16

// IDLifetime is the lifetime of a request id.
const IDLifetime = 10 * time.Minute

// maxIDLength bounds the text form of an id, in bytes.
const maxIDLength = 256

// ErrBadID is returned for text that is not a request id made by the system.
var ErrBadID = errors.New("not a request id made by this system")

// ID is the text form of a ticket. Two submissions are the same request if and
// only if their IDs are equal.
type ID string

// Ticket is the right to dispatch one request, held by one agent incarnation.
// Tying the right to an incarnation needs no agreement between processes: a
// replaced agent has another incarnation and refuses the id, and so does every
// other agent, on whichever side of a partition it is.
type Ticket struct {
	target      string
	incarnation uint64
	nonce       [NonceSize]byte
	expiry      time.Duration
}

// NewTicket returns a ticket for the named target's agent incarnation. The
// expiry is a point in that incarnation's uptime.
func NewTicket(target string, incarnation uint64, nonce [NonceSize]byte, expiry time.Duration) Ticket {
	return Ticket{target: target, incarnation: incarnation, nonce: nonce, expiry: expiry.Truncate(time.Millisecond)}
}

// Target returns the name of the target that the ticket names.
func (t Ticket) Target() string { return t.target }

// Incarnation returns the agent incarnation that the ticket names.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Expiry returns the end of the id's lifetime in the incarnation's uptime.
func (t Ticket) Expiry() time.Duration { return t.expiry }

// ID returns the text form.
func (t Ticket) ID() ID {
	m := &wire.Ticket{
		Target:      t.target,
		Incarnation: t.incarnation,
		Nonce:       t.nonce[:],
		ExpiresMs:   uint64(t.expiry / time.Millisecond),
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on strings that are not UTF-8; target names are checked.
		panic(fmt.Sprintf("ticket for %q: %v", t.target, err))
	}
	return ID(base64.RawURLEncoding.EncodeToString(b))
}

// ParseID returns the ticket behind an id, or ErrBadID. Only the canonical text
// is accepted, so that one ticket can't appear under two ids.
func ParseID(id ID) (Ticket, error) {
	if len(id) == 0 || len(id) > maxIDLength {
		return Ticket{}, fmt.Errorf("id of %d bytes: %w", len(id), ErrBadID)
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(string(id))
	if err != nil {
		return Ticket{}, fmt.Errorf("id %q: %w", id, ErrBadID)
	}
	var m wire.Ticket
	if err := proto.Unmarshal(b, &m); err != nil {
		return Ticket{}, fmt.Errorf("id %q: %w", id, ErrBadID)
	}
	if len(m.Nonce) != NonceSize || m.Target == "" || m.ExpiresMs > uint64(maxUptime/time.Millisecond) {
		return Ticket{}, fmt.Errorf("id %q: %w", id, ErrBadID)
	}
	t := NewTicket(m.Target, m.Incarnation, [NonceSize]byte(m.Nonce), time.Duration(m.ExpiresMs)*time.Millisecond)
	if t.ID() != id {
		return Ticket{}, fmt.Errorf("id %q is not canonical: %w", id, ErrBadID)
	}
	return t, nil
}

// maxUptime keeps expiries within the range of a time.Duration.
const maxUptime = 100 * 365 * 24 * time.Hour
