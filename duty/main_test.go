package duty

import (
	"flag"
	"os"
	"testing"

	// The race detector and bubbles of testing/synctest need one processor.
	_ "mulberryscale.example/internal/racelimit"
)

// TestMain fixes rapid's seed; -rapid.seed on the command line wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
