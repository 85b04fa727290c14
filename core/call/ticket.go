package call

import (
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupstand/schema/wire"
)

// NonceSize is the length of a ticket's nonce, in bytes.
const NonceSize = 16

// IDLifetime is the lifetime of a request id. Agents refuse older ids.
const IDLifetime = 10 * time.Minute

// maxIDLength is the longest id that is parsed, in bytes.
const maxIDLength = 256

// ErrBadID is wrapped by errors about text that is not a valid request id.
var ErrBadID = errors.New("not a request id made by this system")

// ID is a request id: the encoded form of a ticket. Two submissions are the same request
// if and only if their ids are equal.
type ID string

// Ticket is the right to dispatch one request, given to one incarnation of one agent.
// This makes sure without any agreement between processes that no two agents run the
// same request: an agent that was restarted or replaced has another incarnation and
// refuses the id, and so does every other agent, on either side of a partition.
type Ticket struct {
	target      string
	incarnation uint64
	nonce       [NonceSize]byte
	expiry      time.Duration
}

// NewTicket returns a ticket for an incarnation of a target's agent. The expiry is a time
// on that incarnation's uptime clock and is truncated to milliseconds.
func NewTicket(target string, incarnation uint64, nonce [NonceSize]byte, expiry time.Duration) Ticket {
	return Ticket{target: target, incarnation: incarnation, nonce: nonce, expiry: expiry.Truncate(time.Millisecond)}
}

// Target returns the name of the target that the ticket is for.
func (t Ticket) Target() string { return t.target }

// Incarnation returns the agent incarnation that the ticket is for.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Expiry returns the end of the id's lifetime on the incarnation's uptime clock.
func (t Ticket) Expiry() time.Duration { return t.expiry }

// ID returns the request id: the ticket as a base64url-encoded protobuf message without
// padding.
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

// ParseID returns the ticket that an id encodes, or an error that wraps ErrBadID. Only
// the canonical encoding is accepted, so that one ticket can't have two ids.
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

// maxUptime is the latest expiry that is parsed, which keeps expiries well within the
// range of a time.Duration.
const maxUptime = 100 * 365 * 24 * time.Hour
