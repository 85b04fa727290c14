// Package poll reads what the platform publishes: the configuration document and
// the instance list. Nothing is ever written to it.
//
// # Usage
//
//	s := plat.NewHTTP("http://192.0.2.1:9000", client)
//	t, err := s.Configuration(ctx, "")      // at once
//	t, err = s.Configuration(ctx, t.Tag)    // waits for a change
//
// Both calls return ErrUnchanged when a wait ended without a change.
package poll

import (
	"context"
	"errors"
)

// ErrUnchanged is returned when a wait ended without a change.
var ErrUnchanged = errors.New("unchanged")

// maxText is the size of the largest value that the platform holds, in bytes.
const maxText = 1 << 20

// Value is a published value. The tag changes whenever the body does.
type Value struct {
	Body []byte
	Tag  string
}

// Source is a platform. Each call with a tag waits until the value's tag is
// another one, for as long as the source sees fit, or until ctx ends.
type Source interface {
	Configuration(ctx context.Context, tag string) (Value, error)
	Instances(ctx context.Context, tag string) (Value, error)
}
