// Command mulberryctl is the operators' command line: it checks, applies and
// rolls back the table, shows which version each process uses, drains processes,
// makes keys, and shows the state in the platform's store and in logs.
package main

import (
	"os"

	"mulberryscale.example/daemon"
)

func main() {
	os.Exit(daemon.Main(command(), os.Args, os.Stderr))
}
