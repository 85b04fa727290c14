package conf

import (
	"bytes"
	"errors"
	"fmt"
)

// Errors of Holder.Accept.
var (
	// ErrStale is returned for a document of a lower revision than the one held.
	ErrStale = errors.New("revision is older than the one in force")
	// ErrConflict is returned for another document of the same revision.
	ErrConflict = errors.New("revision is in force with another content")
	// ErrRejected is returned for a document with problems.
	ErrRejected = errors.New("document rejected")
)

// Holder keeps the highest revision that this process has accepted. Documents
// come from the service and from peers, in any order; the revision never falls.
type Holder struct {
	config *Config
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{config: &Config{}}
}

// Config returns the configuration in force; its revision is 0 before the first.
func (h *Holder) Config() *Config { return h.config }

// Accept takes a document whole or rejects it whole. It reports whether the
// configuration in force changed.
func (h *Holder) Accept(text []byte) (bool, error) {
	if bytes.Equal(text, h.config.text) && h.config.revision > 0 {
		return false, nil
	}
	c, ps := ParseDocument(text)
	if len(ps) > 0 {
		return false, fmt.Errorf("%w: %s (%d problems)", ErrRejected, ps[0], len(ps))
	}
	switch {
	case c.revision < h.config.revision:
		return false, fmt.Errorf("revision %d, in force %d: %w", c.revision, h.config.revision, ErrStale)
	case c.revision == h.config.revision:
		return false, fmt.Errorf("revision %d: %w", c.revision, ErrConflict)
	}
	h.config = c
	return true, nil
}
