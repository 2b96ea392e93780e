package proof

import (
	"flag"
	"os"
	"testing"
)

// Defaults of rapid's flags in this package; flags on the command line override them.
const (
	fixedSeed   = "20261202"
	fixedChecks = "40"
)

// TestMain fixes rapid's seed and the number of checks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.checks": fixedChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
