package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"kingcupstand/internal/stand"
)

// headerTimeout bounds the wait for a request's headers at a stand-in.
const headerTimeout = 5 * time.Second

// engineCommand runs a stand-in engine.
type engineCommand struct {
	streams
	Listen  string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address to serve on"`
	Step    time.Duration `long:"step" default:"4ms" description:"time of one batch step"`
	Prefill int           `long:"prefill" default:"256" description:"prompt tokens computed in a step"`
	Batch   int           `long:"batch" default:"8" description:"most requests that run at once"`
	Cache   int           `long:"cache" default:"20000" description:"size of the prefix cache in tokens"`
	Lag     time.Duration `long:"lag" default:"1s" description:"age of the reported load"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := stand.NewEngine(stand.EngineConfig{
		Step:           c.Step,
		PrefillPerStep: c.Prefill,
		Batch:          c.Batch,
		CacheTokens:    c.Cache,
		LoadLag:        c.Lag,
	})
	defer e.Close()
	return c.serve(c.Listen, e)
}

// serviceCommand runs a stand-in plain service.
type serviceCommand struct {
	streams
	Listen string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address to serve on"`
	Delay  time.Duration `long:"delay" default:"5ms" description:"time of one call"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(c.Listen, stand.NewService(c.Delay))
}

// platformCommand runs a stand-in platform.
type platformCommand struct {
	streams
	Listen        string `long:"listen" required:"true" value-name:"IP:PORT" description:"address to serve on"`
	Configuration string `long:"configuration" required:"true" value-name:"FILE" description:"configuration document to publish"`
	Instances     string `long:"instances" required:"true" value-name:"FILE" description:"instance list to publish"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	d, err := os.ReadFile(c.Configuration)
	if err != nil {
		return errors.Join(errInput, err)
	}
	l, err := os.ReadFile(c.Instances)
	if err != nil {
		return errors.Join(errInput, err)
	}
	return c.serve(c.Listen, stand.NewPlatform(d, l))
}

// serve answers requests until a signal comes.
func (s streams) serve(address string, h http.Handler) error {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(s.log, "listening on %s\n", n.Addr())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	v := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = v.Close() })
	if err := v.Serve(n); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
