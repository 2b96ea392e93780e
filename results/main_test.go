package results

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that every run has the same result;
// -rapid.seed and -rapid.checks on the command line take precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
