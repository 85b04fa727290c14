package cli

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"kingcupstand/core/conf"
	"kingcupstand/io/agent"
	"kingcupstand/io/daemon"
	"kingcupstand/io/entry"
	"kingcupstand/io/telem"
	"kingcupstand/schema/spec"
)

// forever keeps go-zero, which handles SIGTERM by itself, from ending the process
// while requests are in flight.
const forever = 365 * 24 * time.Hour

// entryCommand runs an entry.
type entryCommand struct {
	streams
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the process"`
}

// agentCommand runs an agent.
type agentCommand struct {
	streams
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings of the process"`
}

var (
	_ daemon.Process = (*entry.Entry)(nil)
	_ daemon.Process = (*agent.Agent)(nil)
)

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	return c.start(c.Settings, conf.RoleEntry, func(s *spec.Settings, t *telem.Telemetry) (daemon.Process, error) {
		return entry.New(s, t)
	})
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	return c.start(c.Settings, conf.RoleAgent, func(s *spec.Settings, t *telem.Telemetry) (daemon.Process, error) {
		return agent.New(s, t)
	})
}

// start reads the settings, and runs the process until it is stopped.
func (s streams) start(file string, role conf.Role, build func(*spec.Settings, *telem.Telemetry) (daemon.Process, error)) error {
	c, err := s.settings(file, role)
	if err != nil {
		return err
	}
	t, err := telem.New(s.log, c.Name, c)
	if err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	proc.SetTimeToForceQuit(forever)
	telem.RedirectGoZero(t.Log)
	p, err := build(c, t)
	if err != nil {
		return errors.Join(err, t.Close())
	}
	return errors.Join(daemon.Run(p, time.Duration(c.GraceSeconds)*time.Second, nil), t.Close())
}

// settings reads a settings file for the given role.
func (s streams) settings(file string, role conf.Role) (*spec.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInput, err)
	}
	c, ps := conf.ParseSettings(b)
	if len(ps) > 0 {
		s.print(file, ps)
		return nil, errPrinted
	}
	if r := conf.RoleOf(c); r != role {
		return nil, fmt.Errorf("%s: %w: these are the settings of an %s: expected those of an %s", file, errInput, r, role)
	}
	return c, nil
}

// print writes one line for each problem.
func (s streams) print(file string, ps []conf.Problem) {
	for _, p := range ps {
		fmt.Fprintf(s.log, "%s: %s\n", file, p)
	}
}
