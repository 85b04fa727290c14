package telem

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// errGoZero is the error of lines that go-zero logged at its error levels, since its
// lines have no error value.
var errGoZero = errors.New("error logged by go-zero")

// setUpOnce guards the set-up of go-zero's logging, which is global to the process.
var setUpOnce sync.Once

// RedirectGoZero makes go-zero log to l, in the whole process. A later call replaces l.
// go-zero's periodic statistics are switched off, since the metrics have the same figures.
func RedirectGoZero(l logr.Logger) {
	setUpOnce.Do(func() {
		// SetUp must precede SetWriter, as it installs a writer of its own.
		_ = logx.SetUp(logx.LogConf{Stat: false})
		logx.DisableStat()
	})
	logx.SetWriter(&logxWriter{log: l.WithName("go-zero")})
}

// httpCallPrefix starts go-zero's lines about single HTTP calls. These are logged at debug
// level only, since the caller gets the error and reports it.
const httpCallPrefix = "[HTTP]"

// logxWriter implements logx.Writer by a logr.Logger.
type logxWriter struct {
	log logr.Logger
}

var _ logx.Writer = (*logxWriter)(nil)

func (w *logxWriter) Alert(v any)                      { w.log.Error(errGoZero, fmt.Sprint(v)) }
func (w *logxWriter) Close() error                     { return nil }
func (w *logxWriter) Debug(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }

func (w *logxWriter) Error(v any, fs ...logx.LogField) {
	if strings.HasPrefix(fmt.Sprint(v), httpCallPrefix) {
		w.Debug(v, fs...)
		return
	}

	w.log.Error(errGoZero, fmt.Sprint(v), pairs(fs)...)
}

func (w *logxWriter) Info(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }
func (w *logxWriter) Severe(v any)                    { w.log.Error(errGoZero, fmt.Sprint(v)) }
func (w *logxWriter) Slow(v any, fs ...logx.LogField) { w.log.Info(fmt.Sprint(v), pairs(fs)...) }
func (w *logxWriter) Stack(v any)                     { w.log.Error(errGoZero, fmt.Sprint(v)) }
func (w *logxWriter) Stat(v any, fs ...logx.LogField) { w.log.V(1).Info(fmt.Sprint(v), pairs(fs)...) }

// pairs converts go-zero's fields to the key and value arguments of logr.
func pairs(fs []logx.LogField) []any {
	var p []any
	for _, f := range fs {
		p = append(p, f.Key, f.Value)
	}
	return p
}
