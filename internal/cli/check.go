package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"sigs.k8s.io/yaml"

	"kingcupstand/core/conf"
)

// checkCommand validates files as the processes do when they read them.
type checkCommand struct {
	streams
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	bad := false
	for _, f := range c.Args.Files {
		b, err := os.ReadFile(f)
		if err != nil {
			fmt.Fprintln(c.log, err)
			bad = true
			continue
		}
		if ps := check(b); len(ps) > 0 {
			c.print(f, ps)
			bad = true
		}
	}
	if bad {
		return errPrinted
	}
	return nil
}

// check validates a file. The kind of file is recognized by keys that only one kind has;
// a file with none of them is validated as a configuration document.
func check(b []byte) []conf.Problem {
	var m map[string]any
	_ = yaml.Unmarshal(b, &m) // syntax errors are reported by the parser that is chosen
	switch {
	case hasKey(m, "instances"):
		_, ps := conf.ParseInstances(b)
		return ps
	case hasKey(m, "callers"):
		_, ps := conf.ParseFront(b)
		return ps
	case hasKey(m, "listen"), hasKey(m, "platform"), hasKey(m, "data-centre"):
		_, ps := conf.ParseSettings(b)
		return ps
	default:
		_, ps := conf.ParseDocument(b)
		return ps
	}
}

func hasKey(m map[string]any, k string) bool {
	_, ok := m[k]
	return ok
}

// hashCommand prints the hash of a key. The key is read from standard input, so that it
// doesn't appear in the shell's history.
type hashCommand struct {
	streams
}

// maxKeyBytes is the longest prefix of the standard input that is read.
const maxKeyBytes = 4096

// Execute implements flags.Commander.
func (c *hashCommand) Execute([]string) error {
	b, err := io.ReadAll(io.LimitReader(os.Stdin, maxKeyBytes))
	if err != nil {
		return errors.Join(errInput, err)
	}
	k := strings.TrimRight(string(b), "\r\n")
	if k == "" {
		return fmt.Errorf("%w: expected a key on standard input", errInput)
	}
	fmt.Fprintln(c.out, conf.HashKey(k))
	return nil
}
