// Command keeper runs a keeper: a process beside a target that keeps records of the streams in
// progress, on the users' platform. See keeper --help.
package main

import (
	"os"

	"kingcupstand/platform"
)

func main() {
	os.Exit(platform.KeeperMain(os.Args[1:], os.Stdout, os.Stderr))
}
