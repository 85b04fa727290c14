// Package cli implements the command lines of the kingcupstand and standin binaries. Each
// subcommand is a struct whose fields are its options, and is registered in Main or
// Standin. Results are written to out, messages and logs to log.
//
// # Usage
//
//	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// The exit status is 0 if the command succeeded, 1 if it failed, and 2 for bad usage or bad
// input.
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

// Version is printed by --version.
const Version = "0.1.0"

var (
	// errInput is wrapped by errors for bad input that has not been reported yet.
	errInput = errors.New("bad input")
	// errPrinted is returned for bad input that has already been reported.
	errPrinted = errors.New("bad input, see above")
	// errNoCommand is returned if the command line has no valid subcommand.
	errNoCommand = errors.New("expected a command; see --help")
)

// streams are the writers for a command's result and for its messages.
type streams struct {
	out, log io.Writer
}

// rootOptions are the options of a binary without a subcommand.
type rootOptions struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// parser is the command line of one binary.
type parser struct {
	flags *flags.Parser
	root  *rootOptions
	streams
}

func newParser(name string, s streams) *parser {
	r := &rootOptions{}
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	if _, err := p.AddGroup("Options", "", r); err != nil {
		panic(err) // invalid struct tags in rootOptions
	}
	return &parser{flags: p, root: r, streams: s}
}

// add adds a subcommand, whose exported fields are its options.
func (p *parser) add(name, short string, c flags.Commander) {
	if _, err := p.flags.AddCommand(name, short, short+".", c); err != nil {
		panic(err) // invalid struct tags in the command
	}
}

// run executes the subcommand that args name and returns the exit status.
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

// status prints err and returns its exit status.
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

// Main runs the kingcupstand command and returns its exit status. Entries and agents run
// until a signal stops them.
func Main(args []string, out, log io.Writer) int {
	s := streams{out: out, log: log}
	// By default, go-zero writes log lines of its own to the standard output.
	telem.RedirectGoZero(telem.NewLogger(log, "error"))
	p := newParser("kingcupstand", s)
	p.add("entry", "Run an entry, which callers connect to", &entryCommand{streams: s})
	p.add("agent", "Run an agent, which admits and queues the requests of one target", &agentCommand{streams: s})
	p.add("check", "Validate settings, contracts and instance lists", &checkCommand{streams: s})
	p.add("load", "Send a load to running entries and report the results", &loadCommand{streams: s})
	p.add("trial", "Run a whole system and a load in this process", &trialCommand{streams: s})
	p.add("bench", "Benchmark scheduling policies in virtual time, beside baselines and a bound", &benchCommand{streams: s})
	p.add("explain", "Summarize the logs of fronts: who was served, refused or cut, and what slots were used for", &explainCommand{streams: s})
	p.add("hash-key", "Print the hash of a key read from standard input", &hashCommand{streams: s})
	return p.run(args)
}

// Standin runs the standin command and returns its exit status. Its subcommands run until
// a signal stops them.
func Standin(args []string, out, log io.Writer) int {
	s := streams{out: out, log: log}
	telem.RedirectGoZero(telem.NewLogger(log, "info"))
	p := newParser("standin", s)
	p.add("engine", "Run a stand-in model engine", &engineCommand{streams: s})
	p.add("service", "Run a stand-in plain service", &serviceCommand{streams: s})
	p.add("platform", "Run a stand-in platform", &platformCommand{streams: s})
	p.add("store", "Run a stand-in of the users' platform and its replicas", &storeCommand{streams: s})
	return p.run(args)
}
