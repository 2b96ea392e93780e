//go:build race

package racelimit

import "runtime"

func init() { runtime.GOMAXPROCS(1) }
