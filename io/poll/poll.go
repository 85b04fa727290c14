// Package poll reads the two values that the platform publishes: the configuration
// document and the instance list. It never writes to the platform.
//
// Each value has a tag that changes whenever the value does. A reader passes the tag of
// the value that it has, and the call returns when there is another one (long polling).
//
// # Usage
//
//	s := poll.NewHTTP("http://192.0.2.1:9000", client)
//	v, err := s.Configuration(ctx, "")              // returns at once
//	v, err = s.Configuration(ctx, v.Tag)            // waits for a change
//	if errors.Is(err, poll.ErrUnchanged) { ... }    // no change yet; call again
package poll

import (
	"context"
	"errors"
)

// ErrUnchanged is returned when the source ended a wait before the value changed.
var ErrUnchanged = errors.New("unchanged")

// maxValueBytes is the size of the largest value that the platform stores.
const maxValueBytes = 1 << 20

// Value is a published value. The tag is opaque and changes whenever the body does.
type Value struct {
	Body []byte
	Tag  string
}

// Source is a platform that values are read from. A call with an empty tag returns the
// current value at once. A call with a tag waits until the value has another one. It
// returns ErrUnchanged if the source's own limit of a wait passes first, and an error
// that wraps the context's if ctx ends first.
type Source interface {
	Configuration(ctx context.Context, tag string) (Value, error)
	Instances(ctx context.Context, tag string) (Value, error)
}
