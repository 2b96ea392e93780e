// Command knownred reads the events of "go test -json" from standard input, prints them as
// "go test" does, and says whether all failures are among the known ones.
//
//	go test -json ./... | knownred KNOWN-RED.txt
//
// It exits with 0 if nothing failed, with 10 if only known tests failed, and with 1 otherwise.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1
	exitKnown  = 10
)

// modulePath is the prefix of package paths that entries of the list leave out.
const modulePath = "mulberryscale.example/"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred LIST")
		os.Exit(exitFailed)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(exitFailed)
	}
	os.Exit(run(string(text), os.Stdin, os.Stdout))
}

// run judges the events in in by the list, prints to out and returns the exit code.
func run(listText string, in io.Reader, out io.Writer) int {
	list, err := parseList(listText)
	if err != nil {
		fmt.Fprintln(out, "knownred:", err)
		return exitFailed
	}
	results, err := readEvents(in, out)
	if err != nil {
		fmt.Fprintln(out, "knownred:", err)
		return exitFailed
	}
	if len(list) > 0 {
		fmt.Fprintf(out, "\nknown failures:\n%s\n", strings.Join(linesOf(list), "\n"))
	}
	v := judge(list, results)
	for _, problem := range v.problems {
		fmt.Fprintln(out, "not passed over:", problem)
	}
	for _, name := range v.passedOver {
		fmt.Fprintln(out, "passed over:", name)
	}
	switch {
	case len(v.problems) > 0:
		return exitFailed
	case len(v.passedOver) > 0:
		return exitKnown
	}
	return exitPassed
}
