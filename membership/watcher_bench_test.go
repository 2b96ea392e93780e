package membership

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/platform"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/wire"
)

const (
	benchReportInterval = 100 * time.Millisecond
	benchWatchTime      = 2 * time.Second
)

// fixedList is an instance list that does not change.
type fixedList []platform.Instance

func (l fixedList) Instances(context.Context) ([]platform.Instance, error) { return l, nil }

// serveReports answers watches with reports until they end.
func serveReports(id string) transport.Handler {
	return func(ctx context.Context, s transport.Stream) {
		var req wire.Request
		if s.Recv(&req) != nil {
			return
		}
		reply := testReport(3)
		reply.Header.From = id
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			reply.Report.Seq = seq
			if s.Send(&reply) != nil {
				return
			}
			time.Sleep(benchReportInterval)
		}
	}
}

// BenchmarkWatcher is the processor time of a report from the agent's message
// to the entry's snapshot, both ends in memory, and the memory of a watch, by
// watched agents. Run it with -benchtime=1x.
func BenchmarkWatcher(b *testing.B) {
	for _, n := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("watched=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchWatcher(b, n)
			}
		})
	}
}

func benchWatcher(b *testing.B, n int) {
	network := memtransport.NewNetwork()
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	list := fixedList(instanceList(0, n, 4))
	for i := range list {
		l, err := network.Listen(transport.PeerID(list[i].ID), "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		list[i].Addr = l.Addr()
		running.Go(func() { _ = l.Serve(ctx, serveReports(list[i].ID)) })
	}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	view := NewView()
	w := NewWatcher(WatcherConfig{EntryID: "entry-1", Zone: "zone-00", View: view, Dialer: network.Dialer("entry-1"), List: list,
		Header: func() wire.Header { return wire.Header{From: "entry-1"} }, Subset: n, Log: log})
	before := benchMemory()
	running.Go(func() { w.Run(ctx) })
	time.Sleep(time.Second)
	b.ReportMetric(float64(benchMemory()-before)/float64(n), "B/watch")
	cpu := benchProcessorTime(b)
	time.Sleep(benchWatchTime)
	reports := float64(n) * benchWatchTime.Seconds() / benchReportInterval.Seconds()
	b.ReportMetric(float64(benchProcessorTime(b)-cpu)/1e3/reports, "cpu-us/report")
	for _, a := range view.Snapshot().Agents {
		if a.State != StateLive {
			b.Errorf("%s is %s", a.ID, a.State)
		}
	}
}

func benchMemory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func benchProcessorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
