// Command kingcupstand runs the processes of the request scheduler and the tools
// of its operators. See kingcupstand --help.
package main

import (
	"os"

	"kingcupstand/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
