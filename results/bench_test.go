package results

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/wire"
)

// promptBytes is the prompt of each request that the benchmarks and
// TestCountIsTrue make.
const promptBytes = 1000

// BenchmarkWaitingRuns is the memory of a generation that waits to be started,
// by their number, without its request. Run it with -benchtime=1x.
func BenchmarkWaitingRuns(b *testing.B) { benchmarkMemory(b, beginRuns) }

// BenchmarkKeptResults is the memory of a running generation kept by key, by
// their number, without its text. Run it with -benchtime=1x.
func BenchmarkKeptResults(b *testing.B) { benchmarkMemory(b, startRuns) }

// BenchmarkEndedResults is the memory of a result kept by key, by their number,
// without its text. Run it with -benchtime=1x.
func BenchmarkEndedResults(b *testing.B) { benchmarkMemory(b, endRuns) }

func benchmarkMemory(b *testing.B, fill func(testing.TB, *Store, int)) {
	for _, n := range []int{512, 1024, 2048, 4096} {
		b.Run(fmt.Sprintf("kept=%d", n), func(b *testing.B) {
			for b.Loop() {
				taken, counted := measure(b, n, fill)
				b.ReportMetric(float64(taken), "B/store")
				b.ReportMetric(float64(counted), "B-counted/store")
			}
		})
	}
}

// measure fills a store with n runs and returns the bytes that it takes and
// those that it counts.
func measure(tb testing.TB, n int, fill func(testing.TB, *Store, int)) (taken, counted int64) {
	before := heapInUse()
	s := New(Options{})
	fill(tb, s, n)
	taken = heapInUse() - before
	counted = int64(s.Bytes())
	runtime.KeepAlive(s)
	return taken, counted
}

func beginRuns(tb testing.TB, s *Store, n int) {
	for i := range n {
		beginNumbered(tb, s, i)
	}
}

func startRuns(tb testing.TB, s *Store, n int) {
	for i := range n {
		reader, _ := beginNumbered(tb, s, i)
		reader.Run().Start()
	}
}

// endRuns ends them as an agent does, whose job holds the request.
func endRuns(tb testing.TB, s *Store, n int) {
	for i := range n {
		reader, req := beginNumbered(tb, s, i)
		run := reader.Run()
		run.OnAbort(func() { runtime.KeepAlive(req) })
		run.Start()
		run.Append("text", 1, 1)
		run.FinishText(start, "stop")
		reader.Close(start)
	}
}

// endCalls ends calls of a plain service.
func endCalls(tb testing.TB, s *Store, n int) {
	for i := range n {
		reader, _ := beginNumbered(tb, s, i)
		run := reader.Run()
		run.Start()
		run.FinishAnswer(start, &wire.Answer{
			Status: 200,
			Header: map[string][]string{"Content-Type": {strings.Repeat("t", 16)}},
			Body:   make([]byte, promptBytes),
		})
		reader.Close(start)
	}
}

func beginNumbered(tb testing.TB, s *Store, i int) (*Reader, *wire.Run) {
	tb.Helper()
	key := fmt.Sprintf("trainer-row-1/step-17/sample-%06d", i)
	prompt := strings.Repeat("p", promptBytes)
	req := &wire.Run{
		RunID: "run-of-" + key, Key: key, Retention: time.Minute,
		Generate: &wire.Generate{Model: "guide", Prompt: prompt},
	}
	reader, refusal := s.Begin(start, req, nil)
	if refusal != nil {
		tb.Fatal(refusal)
	}
	return reader, req
}

// heapInUse is the live heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
