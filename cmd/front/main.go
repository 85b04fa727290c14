// Command front runs an entry that is itself the gate to its targets, on the
// users' platform. See front --help.
package main

import (
	"os"

	"kingcupstand/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
