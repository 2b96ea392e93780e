package results

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/wire"
)

// promptBytes is the size of the prompt of each request that the benchmarks and
// TestByteCountMatchesHeap make.
const promptBytes = 1000

// BenchmarkWaitingRuns measures the memory of generations that wait to be started,
// without their requests, for several numbers of them. Run it with -benchtime=1x.
func BenchmarkWaitingRuns(b *testing.B) { benchmarkMemory(b, beginRuns) }

// BenchmarkKeptResults measures the memory of running generations kept by key,
// without their text, for several numbers of them. Run it with -benchtime=1x.
func BenchmarkKeptResults(b *testing.B) { benchmarkMemory(b, startRuns) }

// BenchmarkEndedResults measures the memory of results kept by key, without their
// text, for several numbers of them. Run it with -benchtime=1x.
func BenchmarkEndedResults(b *testing.B) { benchmarkMemory(b, finishRuns) }

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

// measure fills a store with n runs and returns the heap bytes that it takes and
// the bytes that it counts.
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

// finishRuns starts and completes n generations. As in an agent, the OnAbort function
// references the request.
func finishRuns(tb testing.TB, s *Store, n int) {
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

// finishCalls starts and completes n calls of a plain service.
func finishCalls(tb testing.TB, s *Store, n int) {
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

// heapInUse returns the size of the live heap in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
