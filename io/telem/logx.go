package telem

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// errLibrary marks log lines that go-zero wrote at its error levels.
var errLibrary = errors.New("reported by library")

// redirected makes Redirect set go-zero up once in a process.
var redirected sync.Once

// RedirectGoZero sends go-zero's own log lines through l. Lines of its statistics are
// left out, as tally counts what they would show.
func RedirectGoZero(l logr.Logger) {
	redirected.Do(func() {
		// SetUp must come first: it would put its own writer back.
		_ = logx.SetUp(logx.LogConf{Stat: false})
		logx.DisableStat()
	})
	logx.SetWriter(&logxWriter{log: l.WithName("go-zero")})
}

// callPrefix begins the lines about single HTTP calls. Whoever made the call gets
// its error and reports it.
const callPrefix = "[HTTP]"

// logxWriter implements go-zero's writer with a logr.Logger.
type logxWriter struct {
	log logr.Logger
}

var _ logx.Writer = (*logxWriter)(nil)

func (w *logxWriter) Alert(v any)                      { w.log.Error(errLibrary, fmt.Sprint(v)) }
func (w *logxWriter) Close() error                     { return nil }
func (w *logxWriter) Debug(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }

func (w *logxWriter) Error(v any, fs ...logx.LogField) {
	if strings.HasPrefix(fmt.Sprint(v), callPrefix) {
		w.Debug(v, fs...)
		return
	}

	w.log.Error(errLibrary, fmt.Sprint(v), pairs(fs)...)
}

func (w *logxWriter) Info(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }
func (w *logxWriter) Severe(v any)                    { w.log.Error(errLibrary, fmt.Sprint(v)) }
func (w *logxWriter) Slow(v any, fs ...logx.LogField) { w.log.Info(fmt.Sprint(v), pairs(fs)...) }
func (w *logxWriter) Stack(v any)                     { w.log.Error(errLibrary, fmt.Sprint(v)) }
func (w *logxWriter) Stat(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }

func pairs(fs []logx.LogField) []any {
	var p []any
	for _, f := range fs {
		p = append(p, f.Key, f.Value)
	}
	return p
}
