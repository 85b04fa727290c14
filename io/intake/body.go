package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"kingcupstand/core/memory"
)

const (
	// memoryWait is how long a process that is short of memory leaves a body unread before it refuses the
	// request, and memoryCheck how often it tries again meanwhile. A body is sent to a target in less.
	memoryWait  = 250 * time.Millisecond
	memoryCheck = 10 * time.Millisecond
	// unreadTimeout bounds the time for which the rest of a refused body is read and dropped, so that the
	// caller, which may still be sending it, reads the refusal.
	unreadTimeout = 2 * time.Second
	// RetryAfter is the time after which a caller may come back whose body was refused for lack of memory, or
	// was not received in time.
	RetryAfter = time.Second
)

// Errors of Read.
var (
	ErrTooLong  = errors.New("request body is too long")
	ErrNoMemory = errors.New("no memory for the request body")
	ErrSlow     = errors.New("caller does not go on sending the request body, whose memory is needed")
	ErrTimeout  = errors.New("request body was not received in time")
	ErrCut      = errors.New("request body ended early")
)

// Terms are what applies to the body of one request.
type Terms struct {
	// Rank is 0 for the most urgent requests.
	Rank int
	// Limit is the largest size in bytes.
	Limit int64
	// Deadline is when the whole body must be there.
	Deadline time.Time
	// Aborted ends the receipt when it ends, unless it is nil.
	Aborted context.Context
}

// Body is a whole body in memory. Its methods may be called concurrently.
type Body struct {
	account *memory.Account
	blocks  [][]byte
	size    int
	held    atomic.Int64
}

// Blocks returns the body in blocks, which must not be changed.
func (b *Body) Blocks() [][]byte { return b.blocks }

// Size returns the size in bytes.
func (b *Body) Size() int { return b.size }

// Release returns the body's memory. Further calls have no effect.
func (b *Body) Release() {
	if n := b.held.Swap(0); n > 0 {
		b.account.Release(memory.Bodies, n)
	}
}

// Join returns the body as one block. It fails with ErrNoMemory if there is no memory for the copy that this
// takes of a body that came without a length.
func (b *Body) Join(rank int) ([]byte, error) {
	switch len(b.blocks) {
	case 0:
		return nil, nil
	case 1:
		return b.blocks[0], nil
	}
	if !b.account.Extend(memory.Bodies, rank, b.held.Load(), int64(b.size)) {
		return nil, ErrNoMemory
	}
	old := b.held.Swap(int64(b.size))
	b.blocks = [][]byte{slices.Concat(b.blocks...)}
	b.account.Release(memory.Bodies, old)
	return b.blocks[0], nil
}

// writerKey is the key of a server's own ResponseWriter in the context of a request.
type writerKey struct{}

// Handler returns a handler that passes requests to h, within which Read and Refuse also work if h wraps its
// ResponseWriter. A body that isn't read with Read must be there within limit. Without that, net/http waits
// without a bound for the end of a body that a handler leaves unread.
func Handler(h http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			r = r.WithContext(context.WithValue(r.Context(), writerKey{}, w))
			_ = controller(w, r).SetReadDeadline(time.Now().Add(limit)) // fails only if the connection is closed
		}
		h.ServeHTTP(w, r)
	})
}

func controller(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	if o, ok := r.Context().Value(writerKey{}).(http.ResponseWriter); ok {
		w = o
	}
	return http.NewResponseController(w)
}

// receipt is the receipt of one body.
type receipt struct {
	intake *Intake
	http   *http.Request
	body   *memory.Body
}

// Read reads the body of a request, whose memory the caller releases. It leaves the body unread until there
// is memory for it. After an error, the request must be refused, see Refuse.
func (i *Intake) Read(w http.ResponseWriter, r *http.Request, t Terms) (*Body, error) {
	b := &Body{account: i.account}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if r.ContentLength > t.Limit {
		return nil, ErrTooLong
	}
	c := controller(w, r)
	if err := c.SetReadDeadline(t.Deadline); err != nil {
		return nil, fmt.Errorf("deadline of the request body: %w", err)
	}
	interrupt := func() { _ = c.SetReadDeadline(time.Unix(1, 0)) } // fails only if the connection is closed
	x := &receipt{intake: i, http: r, body: i.bodies.Open(i.now(), t.Rank, interrupt)}
	if t.Aborted != nil {
		defer context.AfterFunc(t.Aborted, interrupt)()
	}
	err := x.read(b, t.Limit)
	held, evicted := i.bodies.Close(x.body)
	b.held.Store(held)
	switch {
	case evicted:
		err = ErrSlow
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrTimeout
	case err == nil:
		err = c.SetReadDeadline(time.Time{}) // the connection is watched for its end from now on
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// read reads the body in as many blocks as it takes.
func (x *receipt) read(b *Body, limit int64) error {
	n := x.http.ContentLength
	if n >= 0 {
		if err := x.reserve(int(n)); err != nil {
			return err
		}
		b.blocks, b.size = [][]byte{make([]byte, n)}, int(n)
		if _, err := io.ReadFull(x, b.blocks[0]); err != nil {
			return cut(err)
		}
		return nil
	}
	var err error
	b.blocks, b.size, err = ReadBlocks(io.LimitReader(x, limit+1), 0, x.reserve)
	switch {
	case errors.Is(err, ErrNoMemory):
		return err
	case err != nil:
		return cut(err)
	case int64(b.size) > limit:
		return ErrTooLong
	}
	return nil
}

// cut returns the error of a body that could not be read to its end.
func cut(err error) error { return fmt.Errorf("%w: %w", ErrCut, err) }

// Read implements io.Reader on the body.
func (x *receipt) Read(p []byte) (int, error) {
	n, err := x.http.Body.Read(p)
	x.intake.bodies.Received(x.intake.now(), x.body, n)
	return n, err
}

// reserve reserves memory for n bytes of the body. Meanwhile the body is left unread.
func (x *receipt) reserve(n int) error {
	i := x.intake
	for end := time.Now().Add(memoryWait); !i.bodies.Reserve(i.now(), x.body, int64(n)); {
		if x.http.Context().Err() != nil || time.Now().After(end) {
			return ErrNoMemory
		}
		time.Sleep(memoryCheck)
	}
	return nil
}

// Sizes in bytes of the blocks that a body is read into: each is twice as large as the one before.
const (
	minBlock = 2 << 10
	maxBlock = 64 << 10
)

// ReadBlocks reads r to its end. Before each block beyond the first free bytes it calls reserve with its size. It
// returns what it has read with an error of reserve, and nothing with one of r.
func ReadBlocks(r io.Reader, free int, reserve func(n int) error) (blocks [][]byte, size int, err error) {
	for next := minBlock; ; next = min(maxBlock, 2*next) {
		if size+next > free {
			if err = reserve(next); err != nil {
				return blocks, size, err
			}
		}
		b, n := make([]byte, next), 0
		for n < len(b) && err == nil {
			var m int
			m, err = r.Read(b[n:])
			n += m
		}
		blocks, size = append(blocks, b[:n]), size+n
		if errors.Is(err, io.EOF) {
			return blocks, size, nil
		}
		if err != nil {
			return nil, size, err
		}
	}
}

// Refuse prepares the refusal of a request whose body was not read to its end: after an error of Read, or with
// a nil error before it. The connection ends with the refusal. The returned function, which is called once the
// refusal is written, sends it and drops what the caller still sends of the body.
func Refuse(w http.ResponseWriter, r *http.Request, err error) (finish func() error) {
	if r.Body == nil || r.Body == http.NoBody {
		return func() error { return nil }
	}
	w.Header().Set("Connection", "close")
	c := controller(w, r)
	// Otherwise net/http reads the rest of the body before it sends the refusal.
	duplex := c.EnableFullDuplex()
	if errors.Is(err, ErrSlow) || errors.Is(err, ErrTimeout) || errors.Is(err, ErrCut) {
		return func() error { return errors.Join(duplex, c.Flush()) }
	}
	return func() error {
		err := errors.Join(duplex, c.Flush(), c.SetReadDeadline(time.Now().Add(unreadTimeout)))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		return err
	}
}
