// Command standin runs a stand-in model engine, plain service or platform as a process, for
// trying out kingcupstand on one machine. See standin --help.
package main

import (
	"os"

	"kingcupstand/internal/cli"
)

func main() {
	os.Exit(cli.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
