// Command front runs a front: a process that accepts requests from callers and dispatches
// them to targets, on the users' platform. See front --help.
package main

import (
	"os"

	"kingcupstand/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
