package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"kingcupstand/internal/stand"
)

// headerTimeout limits the time in which a stand-in reads a request's header.
const headerTimeout = 5 * time.Second

// engineCommand runs a stand-in engine.
type engineCommand struct {
	streams
	Listen  string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address to serve on"`
	Step    time.Duration `long:"step" default:"4ms" description:"duration of one batch step"`
	Prefill int           `long:"prefill" default:"256" description:"prompt tokens computed per step"`
	Batch   int           `long:"batch" default:"8" description:"maximum number of running requests"`
	Cache   int           `long:"cache" default:"20000" description:"size of the prefix cache in tokens"`
	Lag     time.Duration `long:"lag" default:"1s" description:"delay of the reported load"`
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
	Delay  time.Duration `long:"delay" default:"5ms" description:"duration of one call"`
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

// storeCommand runs a stand-in of the users' platform: a store that lists replicas, and
// those replicas, in one process.
type storeCommand struct {
	streams
	Listen        string        `long:"listen" required:"true" value-name:"IP:PORT" description:"address of the store"`
	Configuration string        `long:"configuration" required:"true" value-name:"FILE" description:"configuration to publish, in the users' platform's format"`
	Replicas      []string      `long:"replica" required:"true" value-name:"SERVICE[:EVENTS]" description:"a replica of a service, which responds with streams of EVENTS events if given; may be repeated"`
	Pause         time.Duration `long:"pause" default:"20ms" description:"gap between events, and duration of a call without events"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	b, err := os.ReadFile(c.Configuration)
	if err != nil {
		return errors.Join(errInput, err)
	}
	s := stand.NewStore()
	s.Put("op/config", b)
	for i, d := range c.Replicas {
		r, err := c.replica(s, fmt.Sprintf("i-%d", i+1), d)
		if err != nil {
			return err
		}
		defer r.Close()
	}
	return c.serve(c.Listen, s)
}

// replica starts a replica and adds it to the store's list. The description is
// SERVICE[:EVENTS].
func (c *storeCommand) replica(s *stand.Store, id, description string) (*stand.Replica, error) {
	service, n, streams := strings.Cut(description, ":")
	events := 0
	if streams {
		var err error
		if events, err = strconv.Atoi(n); err != nil || events < 1 {
			return nil, fmt.Errorf("%w: replica %q: the number of events must be above 0", errInput, description)
		}
	}
	r, err := stand.NewReplica(id, events, c.Pause)
	if err != nil {
		return nil, fmt.Errorf("start replica: %w", err)
	}
	s.Register(r, service)
	fmt.Fprintf(c.log, "replica %s of %s on %s\n", id, service, r.Address())
	return r, nil
}

// serve serves HTTP on address until SIGTERM or SIGINT.
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
