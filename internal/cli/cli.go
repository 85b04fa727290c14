// Package cli has the command lines of the binaries.
//
// # Usage
//
//	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit status is 0 if the command did its work, 1 if it failed, and 2 for
// bad usage or bad input.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"kingcupstand/io/telem"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is what --version prints.
const Version = "0.1.0"

var (
	// errInput marks bad input that has not been printed yet.
	errInput = errors.New("bad input")
	// errPrinted is returned for bad input that has been printed already.
	errPrinted = errors.New("bad input, see above")
	// errNoCommand is returned when no subcommand was named.
	errNoCommand = errors.New("expected a command; see --help")
)

// streams are where a command writes its result and its messages.
type streams struct {
	out, log io.Writer
}

// root has the options that come before any subcommand.
type root struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// parser collects the subcommands of one binary.
type parser struct {
	flags *flags.Parser
	root  *root
	streams
}

func newParser(name string, s streams) *parser {
	r := &root{}
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	if _, err := p.AddGroup("Options", "", r); err != nil {
		panic(err) // the options of this file are wrong
	}
	return &parser{flags: p, root: r, streams: s}
}

// add adds a subcommand, whose fields are its options.
func (p *parser) add(name, short string, c flags.Commander) {
	if _, err := p.flags.AddCommand(name, short, short+".", c); err != nil {
		panic(err) // the options of the command are wrong
	}
}

// run executes the subcommand that the arguments name and returns the exit status.
func (p *parser) run(args []string) int {
	rest, err := p.flags.ParseArgs(args)
	switch {
	case err != nil || p.flags.Active != nil:
		return p.status(err)
	case len(rest) > 0:
		return p.status(fmt.Errorf("unknown command %q: %w", rest[0], errNoCommand))
	case p.root.Version:
		fmt.Fprintln(p.out, p.flags.Name, Version)
		return exitDone
	default:
		return p.status(errNoCommand)
	}
}

// status prints an error and returns the exit status for it.
func (p *parser) status(err error) int {
	var f *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Fprintln(p.out, f.Message)
		return exitDone
	case errors.Is(err, errPrinted):
		return exitUsage
	}
	fmt.Fprintf(p.log, "%s: %s\n", p.flags.Name, err)
	if f != nil || errors.Is(err, errInput) || errors.Is(err, errNoCommand) {
		return exitUsage
	}
	return exitFailed
}

// Main runs the kingcupstand command.
func Main(args []string, out, log io.Writer) int {
	s := streams{out: out, log: log}
	// go-zero would write its own lines to the standard output.
	telem.RedirectGoZero(telem.NewLogger(log, "error"))
	p := newParser("kingcupstand", s)
	p.add("entry", "Run an entry, which callers speak to", &entryCommand{streams: s})
	p.add("agent", "Run an agent, the gate to one target", &agentCommand{streams: s})
	p.add("check", "Check settings, contracts and instance lists", &checkCommand{streams: s})
	p.add("load", "Send a load to entries and report what became of it", &loadCommand{streams: s})
	p.add("trial", "Run the whole system in this process, with a load", &trialCommand{streams: s})
	p.add("bench", "Play the scenarios in virtual time, beside baselines and a bound", &benchCommand{streams: s})
	p.add("hash-key", "Print the hash of a key read from standard input", &hashCommand{streams: s})
	return p.run(args)
}

// Standin runs the standin command.
func Standin(args []string, out, log io.Writer) int {
	s := streams{out: out, log: log}
	telem.RedirectGoZero(telem.NewLogger(log, "info"))
	p := newParser("standin", s)
	p.add("engine", "Run a stand-in model engine", &engineCommand{streams: s})
	p.add("service", "Run a stand-in plain service", &serviceCommand{streams: s})
	p.add("platform", "Run a stand-in platform", &platformCommand{streams: s})
	p.add("store", "Run a stand-in of the users' platform with its replicas", &storeCommand{streams: s})
	return p.run(args)
}
