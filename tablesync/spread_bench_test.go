package tablesync

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// benchRows is the number of rows of the table.
const benchRows = 100

// missTimeout is how long to wait for a node that got no notice before it counts as
// missed. In production it would learn of the version by its own poll or from the header
// of a later message.
const missTimeout = 10 * time.Second

func benchDocument(version uint64) wire.TableDocument {
	var body bytes.Buffer
	body.WriteString("rows:\n")
	for i := range benchRows {
		fmt.Fprintf(&body, "- {name: row-%d, kind: plain, max_rps: %d}\n", i, version)
	}
	return wire.TableDocument{Version: version, Format: table.FormatYAML, Body: body.Bytes(), AcceptedAt: time.Unix(0, 0)}
}

func encodedSize(b *testing.B, msg any) float64 {
	encoded, err := cbor.Marshal(msg)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(encoded))
}

// BenchmarkSpread runs fleets of growing size in one process, with a one-way network
// latency of 1 ms. It measures the time from the install of a version at one entry until
// it is in force at each node, and the messages sent. The time includes CPU time, since
// all nodes share this machine.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{8, 26, 82, 260, 820} {
		agents := entries * 12
		b.Run(fmt.Sprintf("entries=%d/agents=%d", entries, agents), func(b *testing.B) {
			f := newFleet(b, entries, agents)
			defer f.close()
			var delays []time.Duration
			version := uint64(0)
			before := cpuTime(b)
			for b.Loop() {
				version++
				delays = append(delays, f.timeInstall(b, version)...)
			}
			used := cpuTime(b) - before
			b.ReportMetric(used.Seconds()*1e3/float64(len(delays)), "cpu-ms/node")
			slices.Sort(delays)
			b.ReportMetric(delays[len(delays)/2].Seconds()*1e3, "ms-p50")
			b.ReportMetric(delays[len(delays)*99/100].Seconds()*1e3, "ms-p99")
			b.ReportMetric(delays[len(delays)-1].Seconds()*1e3, "ms-max")
			f.reportMessages(b, version)
		})
	}
}

// timeInstall installs a version at one entry and returns how long it took to be in
// force at each node.
func (f *fleet) timeInstall(b *testing.B, version uint64) []time.Duration {
	nodes := f.all()
	delays := make([]time.Duration, len(nodes))
	doc := benchDocument(version)
	timeoutCtx, cancel := context.WithTimeout(context.Background(), missTimeout)
	defer cancel()
	var all sync.WaitGroup
	start := time.Now()
	for i, n := range nodes {
		changed := n.holder.Changed()
		all.Go(func() {
			select {
			case <-changed:
			case <-timeoutCtx.Done():
				b.Logf("%s got no notice", n.peer.ID)
				_, _ = n.holder.Install(doc)
			}
			delays[i] = time.Since(start)
		})
	}
	if _, err := f.entries[int(version)%len(f.entries)].holder.Install(doc); err != nil {
		b.Fatal(err)
	}
	all.Wait()
	return delays
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f *fleet) reportMessages(b *testing.B, versions uint64) {
	var notices, pulls float64
	for _, n := range f.all() {
		stats := n.spread.Stats()
		notices += float64(stats.Notices)
		pulls += float64(stats.Pulls)
	}
	b.ReportMetric(notices/float64(len(f.entries))/float64(versions), "notices/entry")
	b.ReportMetric(pulls/float64(len(f.all()))/float64(versions), "pulls/node")
	header := f.entries[0].spread.config.Self()
	header.Incarnation = "0123456789abcdef"
	notice := encodedSize(b, wire.Request{Header: header, PullTable: &wire.PullTable{Have: versions}})
	notice += encodedSize(b, wire.Reply{Header: header, OK: true})
	b.ReportMetric(notice, "B/notice")
	b.ReportMetric(encodedSize(b, benchDocument(versions)), "B/document")
}
