package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/benchmeter"
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

// serveReports returns a handler that answers a watch with reports until the watch is closed.
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

// serveAgents serves reports of the listed agents and sets their addresses in the list.
func serveAgents(ctx context.Context, tb testing.TB, running *sync.WaitGroup, list []platform.Instance) *memtransport.Network {
	tb.Helper()
	network := memtransport.NewNetwork()
	for i := range list {
		l, err := network.Listen(transport.PeerID(list[i].ID), "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		list[i].Addr = l.Addr()
		running.Go(func() { _ = l.Serve(ctx, serveReports(list[i].ID)) })
	}
	return network
}

// watcherConfig returns the settings of the watcher of entry-1 with a list that does not change.
func watcherConfig(network *memtransport.Network, list []platform.Instance) WatcherConfig {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return WatcherConfig{
		EntryID: "entry-1", Zone: "zone-00", View: NewView(), Dialer: network.Dialer("entry-1"), List: fixedList(list),
		Header: func() wire.Header { return wire.Header{From: "entry-1"} }, Log: log,
	}
}

// BenchmarkWatcher measures the processor time of a report, from the agent's message to the
// entry's snapshot with both in one process, and the memory of a watch, by number of watched
// agents. Run it with -benchtime=1x.
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
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	list := instanceList(0, n, 4)
	network := serveAgents(ctx, b, &running, list)
	cfg := watcherConfig(network, list)
	cfg.Subset = n
	w := NewWatcher(cfg)
	before := benchmeter.MemoryInUse()
	running.Go(func() { w.Run(ctx) })
	time.Sleep(time.Second)
	b.ReportMetric(float64(benchmeter.MemoryInUse()-before)/float64(n), "B/watch")
	cpu := benchmeter.CPUTime(b)
	time.Sleep(benchWatchTime)
	reports := float64(n) * benchWatchTime.Seconds() / benchReportInterval.Seconds()
	b.ReportMetric(benchmeter.CPUMicrosPerOp(b, cpu, reports), "cpu-us/report")
	for _, a := range cfg.View.Snapshot().Agents {
		if a.State != StateLive {
			b.Errorf("%s is %s", a.ID, a.State)
		}
	}
}
