package conf

import (
	"bytes"
	"errors"
	"fmt"
)

// Errors of Holder.Accept.
var (
	// ErrStale is returned for a document of a lower revision than the current one.
	ErrStale = errors.New("revision is older than the current one")
	// ErrConflict is returned for a document of the current revision with different
	// content.
	ErrConflict = errors.New("current document has the same revision but different content")
	// ErrRejected is returned for a document with problems.
	ErrRejected = errors.New("document rejected")
)

// Holder holds the current configuration, which is the document of the highest
// revision that was accepted. The revision never decreases, whatever the order in
// which documents arrive. A Holder is not safe for concurrent use; the Config that it
// returns is.
type Holder struct {
	config *Config
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{config: &Config{}}
}

// Config returns the current configuration. It is never nil; its revision is 0 until
// a document is accepted.
func (h *Holder) Config() *Config { return h.config }

// Accept makes a document the current configuration or rejects it as a whole. It
// reports whether the configuration changed. Accepting the current document again
// changes nothing and is no error. Errors wrap ErrRejected, ErrStale or ErrConflict.
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
		return false, fmt.Errorf("revision %d, current revision %d: %w", c.revision, h.config.revision, ErrStale)
	case c.revision == h.config.revision:
		return false, fmt.Errorf("revision %d: %w", c.revision, ErrConflict)
	}
	h.config = c
	return true, nil
}
