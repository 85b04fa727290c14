package telem

import (
	"sync"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Rate limits of log lines.
const (
	// linesPerSecond is the sustained rate of log lines of one kind; a busy front has a
	// few tens of requests a second.
	linesPerSecond = 60
	// lineBurst is how many lines of one kind may be written at once.
	lineBurst = 120
)

// Lines limits the rate of log lines of each kind. Kinds are kept, so there must be few. It is safe for
// concurrent use.
type Lines struct {
	mu     sync.Mutex
	limits map[string]*lineLimit
}

// lineLimit is the rate limit of one kind of log line.
type lineLimit struct {
	limiter *rate.Limiter
	// dropped counts the lines dropped since the last one that was written.
	dropped int
}

// NewLines returns Lines without any written yet.
func NewLines() *Lines { return &Lines{limits: map[string]*lineLimit{}} }

// Allow reports whether a line of the kind may be written now, and how many were
// dropped since the last one.
func (l *Lines) Allow(kind string) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.limits[kind]
	if k == nil {
		k = &lineLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.limits[kind] = k
	}
	if !k.limiter.Allow() {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}

// Limited returns a logger that limits the rate of lines of each message. Lines after dropped ones have
// their number as dropped-before.
func Limited(l logr.Logger) logr.Logger {
	if l.GetSink() == nil {
		return l // it discards all lines
	}
	return l.WithSink(&limitedSink{l.GetSink(), NewLines()})
}

// limitedSink passes on the lines that its limits allow.
type limitedSink struct {
	logr.LogSink
	lines *Lines
}

// Info implements logr.LogSink.
func (s *limitedSink) Info(level int, message string, pairs ...any) {
	if n, ok := s.lines.Allow(message); ok {
		s.LogSink.Info(level, message, withDropped(pairs, n)...)
	}
}

// Error implements logr.LogSink.
func (s *limitedSink) Error(err error, message string, pairs ...any) {
	if n, ok := s.lines.Allow(message); ok {
		s.LogSink.Error(err, message, withDropped(pairs, n)...)
	}
}

// WithValues implements logr.LogSink.
func (s *limitedSink) WithValues(pairs ...any) logr.LogSink {
	return &limitedSink{s.LogSink.WithValues(pairs...), s.lines}
}

// WithName implements logr.LogSink.
func (s *limitedSink) WithName(name string) logr.LogSink {
	return &limitedSink{s.LogSink.WithName(name), s.lines}
}

func withDropped(pairs []any, n int) []any {
	if n > 0 {
		pairs = append(pairs[:len(pairs):len(pairs)], "dropped-before", n)
	}
	return pairs
}
