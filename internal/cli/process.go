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

// forceQuitDelay is the time after SIGTERM at which go-zero, which handles the signal too,
// ends the process. It is never reached: the process ends by itself, after its requests in
// flight.
const forceQuitDelay = 365 * 24 * time.Hour

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

// start reads the settings, builds the process and runs it until a signal stops it.
func (s streams) start(file string, role conf.Role, build func(*spec.Settings, *telem.Telemetry) (daemon.Process, error)) error {
	c, err := s.settings(file, role)
	if err != nil {
		return err
	}
	t, err := telem.New(s.log, c.Name, c)
	if err != nil {
		return fmt.Errorf("%w: %w", errInput, err)
	}
	if c.MemoryMib == 0 {
		c.MemoryMib = daemon.DefaultMemory()
	}
	daemon.LimitMemory(c.MemoryMib)
	proc.SetTimeToForceQuit(forceQuitDelay)
	telem.RedirectGoZero(t.Log)
	p, err := build(c, t)
	if err != nil {
		return errors.Join(err, t.Close())
	}
	return errors.Join(daemon.Run(p, time.Duration(c.GraceSeconds)*time.Second, nil), t.Close())
}

// settings reads and validates the settings file of a process with the given role.
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
		return nil, fmt.Errorf("%s: %w: settings of an %s, expected those of an %s", file, errInput, r, role)
	}
	return c, nil
}

// print reports the problems of a file, one per line.
func (s streams) print(file string, ps []conf.Problem) {
	for _, p := range ps {
		fmt.Fprintf(s.log, "%s: %s\n", file, p)
	}
}
