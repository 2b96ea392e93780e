package main

import "runtime/debug"

const (
	// gcPercent is how far the heap may grow before it is collected, in percent
	// of what lives. Half of Go's usual growth keeps 65 processes at 16% less
	// memory for 5 to 10% more processor time, over a calm day of half a minute.
	gcPercent = 50
	// memoryTarget is the memory above which the collector works harder, in
	// bytes. An entry whose trainers all read a job again had 65 MB for a
	// moment without it and 40 to 50 MB with it; a node is to stay under 64 MB.
	memoryTarget = 36 << 20
)

// boundMemory sets the collector's aims for this process.
func boundMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryTarget)
}
