// Package rapidseed fixes the seed of package rapid for the tests of the packages that import
// it, so that each run draws the same values. The flag -rapid.seed takes precedence.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
