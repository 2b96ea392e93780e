// Command mulberryctl is the operators' command line: it checks, applies and
// rolls back the table, shows which version is in force where, drains
// processes and makes keys.
package main

import (
	"os"

	"mulberryscale.example/daemon"
)

func main() {
	os.Exit(daemon.Main(command(), os.Args, os.Stderr))
}
