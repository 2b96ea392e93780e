package tablesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/observe"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

func discard() logrus.FieldLogger { return observe.Discard() }

func TestInterval(t *testing.T) {
	for _, c := range []struct {
		entries int
		want    time.Duration
	}{
		{0, time.Second},
		{3, time.Second},
		{820, 8200 * time.Millisecond},
		{5000, 10 * time.Second},
	} {
		if got := Interval(c.entries, 100, time.Second, 10*time.Second); got != c.want {
			t.Errorf("%d entries: %s, want %s", c.entries, got, c.want)
		}
	}
}

func TestBackoff(t *testing.T) {
	for _, c := range []struct {
		failures int
		want     time.Duration
	}{{0, 2 * time.Second}, {1, 2 * time.Second}, {2, 4 * time.Second}, {3, 8 * time.Second}, {1000, 30 * time.Second}} {
		if got := Backoff(2*time.Second, c.failures, 30*time.Second); got != c.want {
			t.Errorf("%d failures: %s, want %s", c.failures, got, c.want)
		}
	}
}

// apply makes a document the current version.
func apply(t *testing.T, store *tablestore.Store, version uint64) {
	t.Helper()
	doc := document(version)
	_, err := store.Apply(t.Context(), tablestore.ApplyRequest{
		Base: version - 1, ApplyID: string(doc.Body), Author: "ann", Format: table.FormatYAML, Body: doc.Body,
	})
	if err != nil {
		t.Fatal(err)
	}
}

func newPoller(reader Reader, entries int, seed uint64) *Poller {
	return NewPoller(PollerConfig{
		Reader:  reader,
		Holder:  NewHolder(),
		Entries: func() int { return entries },
		Rand:    rand.New(rand.NewPCG(seed, 0)),
		Log:     discard(),
	})
}

// TestPollerThroughOutage: the version in force stays during an outage of the table
// service while Age grows, and it does not revert on stale reads.
func TestPollerThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := tableservice.New(tableservice.Options{})
		store := tablestore.New(service)
		p := newPoller(store, 1, 1)
		if _, ok := p.Age(time.Now()); ok {
			t.Fatal("Age is known before the first response")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { p.Run(ctx) })

		apply(t, store, 1)
		time.Sleep(2 * time.Second)
		service.StaleReads(true) // of version 1
		apply(t, store, 2)
		service.StaleReads(false)
		time.Sleep(2 * time.Second)

		service.Outage(true)
		time.Sleep(time.Hour)
		if age, ok := p.Age(time.Now()); !ok || age < time.Hour || p.config.Holder.Version() != 2 {
			t.Fatalf("age %s %v, version %d", age, ok, p.config.Holder.Version())
		}
		if failures := p.Stats().Failures; failures > 200 {
			t.Fatalf("%d reads in an hour of outage", failures)
		}
		service.Outage(false)
		time.Sleep(time.Minute)
		if age, _ := p.Age(time.Now()); age > 2*time.Second {
			t.Fatalf("age %s after the outage", age)
		}
		cancel()
		running.Wait()
	})
}

// TestPollerKeepsVersionOnStaleRead: a read that returns an older version is counted
// and changes nothing.
func TestPollerKeepsVersionOnStaleRead(t *testing.T) {
	service := tableservice.New(tableservice.Options{})
	store := tablestore.New(service)
	apply(t, store, 1)
	service.StaleReads(true)
	p := newPoller(store, 1, 1)
	if _, err := p.config.Holder.Install(document(2)); err != nil {
		t.Fatal(err)
	}
	if err := p.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if p.config.Holder.Version() != 2 || p.Stats().Older != 1 {
		t.Fatalf("version %d, %+v", p.config.Holder.Version(), p.Stats())
	}
}

// TestPollersReadWithinTheirRate measures the total read rate of 820 entries, the number
// that the design assumes.
func TestPollersReadWithinTheirRate(t *testing.T) {
	const entries = 820
	synctest.Test(t, func(t *testing.T) {
		service := tableservice.New(tableservice.Options{})
		store := tablestore.New(service)
		apply(t, store, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range entries {
			p := newPoller(store, entries, uint64(i))
			running.Go(func() { p.Run(ctx) })
		}
		time.Sleep(time.Minute)
		before := service.Counts().Reads
		time.Sleep(time.Minute)
		rate := float64(service.Counts().Reads-before) / time.Minute.Seconds()
		if rate < 0.9*DefaultReadsPerSecond || rate > 1.1*DefaultReadsPerSecond {
			t.Errorf("%.1f reads a second, want about %.0f", rate, DefaultReadsPerSecond)
		}
		cancel()
		running.Wait()
	})
}
