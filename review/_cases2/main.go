// Command cases2 plays the cases of this review: it starts the project's programs as separate
// processes, and is their platform, engines and clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 115 * time.Second

// Statuses of the command.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE FOLDER; cases:", names)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(os.Args[2])
	go endEarly()
	w.note("case %s, with the disruption: %v", os.Args[1], trouble)
	held := cases[os.Args[1]](w, trouble)
	w.close()
	if !held {
		w.note("the rule was broken")
		os.Exit(exitBroken)
	}
	w.note("the rule held")
	os.Exit(exitHeld)
}

// endEarly ends the case, with all its processes, at a signal or when its time is up.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		fail(errors.New("stopped by a signal"))
	case <-time.After(timeLimit):
		fail(errors.New("its time is up"))
	}
}
