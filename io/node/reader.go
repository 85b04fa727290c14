package node

import (
	"context"
	"errors"
	"time"

	"kingcupstand/io/poll"
)

// reader reads a value of the platform again and again. After a read without news the next one is at least
// retryDelay later: not every platform waits for a change, or marks one by a new tag.
type reader struct {
	get  func(ctx context.Context, tag string) (poll.Value, error)
	tag  string
	next time.Time // zero if the last read brought news or failed
}

// read waits for the next value, as poll.Source does.
func (r *reader) read(ctx context.Context) (poll.Value, error) {
	if d := time.Until(r.next); d > 0 {
		sleep(ctx, d)
	}
	r.next = time.Time{}
	started := time.Now()
	v, err := r.get(ctx, r.tag)
	if errors.Is(err, poll.ErrUnchanged) || err == nil && (v.Tag == "" || v.Tag == r.tag) {
		r.next = started.Add(retryDelay)
	}
	if err == nil {
		r.tag = v.Tag
	}
	return v, err
}
