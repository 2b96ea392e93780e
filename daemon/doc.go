// Package daemon holds what the main functions of all programs share: the command
// with its settings, version and shell completion, exit statuses and one-line
// errors, signal handling and draining, the operators' HTTP listener, and output as
// a table or JSON.
//
// A main is a few lines:
//
//	func main() {
//		os.Exit(daemon.Main(command(), os.Args, os.Stderr))
//	}
package daemon
