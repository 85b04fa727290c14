// Command kingcupstand runs entries and agents, the processes of the request scheduler,
// and tools for operators. See kingcupstand --help.
package main

import (
	"os"

	"kingcupstand/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
