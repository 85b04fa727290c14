package cli_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kingcupstand/internal/cli"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCheckReportsProblems compares the output and exit status of check for each file of
// testdata/check with the golden file beside it.
func TestCheckReportsProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			var out bytes.Buffer
			code := cli.Main([]string{"check", f}, &out, &out)
			got := out.String() + "exit " + string(rune('0'+code)) + "\n"
			compare(t, strings.TrimSuffix(f, ".yaml")+".golden", got)
		})
	}
}

// TestExplain compares the output and exit status of explain for each log of testdata/explain with
// the golden file beside it.
func TestExplain(t *testing.T) {
	files, err := filepath.Glob("testdata/explain/*.log")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			var out bytes.Buffer
			code := cli.Main([]string{"explain", f}, &out, &out)
			compare(t, strings.TrimSuffix(f, ".log")+".golden", out.String()+"exit "+string(rune('0'+code))+"\n")
		})
	}
}

func compare(t *testing.T, golden, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant (%s):\n%s", got, golden, want)
	}
}

// TestExamplesAreValid runs check on all YAML files under examples.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) < 3 {
		t.Fatalf("%d files: %v", len(files), err)
	}
	var out bytes.Buffer
	if code := cli.Main(append([]string{"check"}, files...), &out, &out); code != 0 {
		t.Errorf("exit %d, want 0:\n%s", code, out.String())
	}
}

// TestExitStatus checks the exit status and output of command lines that end before any
// process is started.
func TestExitStatus(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		text string
	}{
		{"--version", 0, "kingcupstand " + cli.Version},
		{"--help", 0, "Available commands"},
		{"entry --help", 0, "--settings"},
		{"trial --help", 0, "--overload"},
		{"", 2, "expected a command"},
		{"dance", 2, "dance"},
		{"entry", 2, "--settings"},
		{"entry --settings no-such-file", 2, "no such file"},
		{"entry --settings ../../examples/local/engine-1.yaml", 2, "settings of an agent"},
		{"agent --settings testdata/check/settings.yaml", 2, "settings.yaml: target.kind: \"robot\""},
		{"check", 2, "FILE"},
		{"check no-such-file", 2, "no such file"},
		{"trial --overload=-1", 2, "--overload"},
		{"trial --workload fair", 2, "fair"},
	} {
		var out bytes.Buffer
		code := cli.Main(strings.Fields(c.args), &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.text) {
			t.Errorf("kingcupstand %s: exit %d, want %d with %q:\n%s", c.args, code, c.code, c.text, out.String())
		}
	}
}
