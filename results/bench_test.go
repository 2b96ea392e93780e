package results

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"mulberryscale.example/wire"
)

// BenchmarkKeptResults is the memory of a running generation kept by key, by
// their number, without its text. Run it with -benchtime=1x.
func BenchmarkKeptResults(b *testing.B) {
	for _, n := range []int{512, 1024, 2048, 4096} {
		b.Run(fmt.Sprintf("kept=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				s := New(Options{})
				now := time.Unix(1000, 0)
				for i := range n {
					key := fmt.Sprintf("trainer-row-1/step-17/sample-%06d", i)
					run := &wire.Run{RunID: key, Key: key, Linger: time.Minute, Generate: &wire.Generate{Model: "guide"}}
					if _, refusal := s.Begin(now, run, nil); refusal != nil {
						b.Fatal(refusal)
					}
				}
				b.ReportMetric(float64(heapInUse()-before), "B/store")
				runtime.KeepAlive(s)
			}
		})
	}
}

// heapInUse is the live heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
