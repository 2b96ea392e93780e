// Package benchmeter measures the memory and CPU time of the process in benchmarks.
package benchmeter

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// MemoryInUse returns the heap and stack memory in use after a garbage
// collection, in bytes.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC() // collects what the finalizers of the first one released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// CPUTime returns the user and system CPU time that this process has used.
func CPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// CPUMicrosPerOp returns the CPU time used since before, a result of CPUTime,
// divided by n operations, in microseconds.
func CPUMicrosPerOp(tb testing.TB, before time.Duration, n float64) float64 {
	tb.Helper()
	return float64(CPUTime(tb)-before) / float64(time.Microsecond) / n
}
