// Package benchmeter reads the memory and processor time of the process in benchmarks.
package benchmeter

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// MemoryInUse is the heap and stack memory in use after a collection, in bytes.
func MemoryInUse() int64 {
	runtime.GC()
	runtime.GC() // what the first one made free by finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// CPUTime is the user and system time that this process has used.
func CPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// CPUMicrosPerOp is the processor time since before for each of n things, in microseconds.
func CPUMicrosPerOp(tb testing.TB, before time.Duration, n float64) float64 {
	tb.Helper()
	return float64(CPUTime(tb)-before) / float64(time.Microsecond) / n
}
