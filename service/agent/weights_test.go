package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/platform"
	"mulberryscale.example/table"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/wire"
)

// publisher is a Targets whose version is set by a test.
type publisher struct {
	mu      sync.Mutex
	version uint64
}

func (p *publisher) Latest(context.Context, string) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == 0 {
		return 0, platform.ErrNotFound
	}
	return p.version, nil
}

func (p *publisher) publish(v uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = v
}

type weightsRig struct {
	*rig
	p     *publisher
	store *tableservice.Service
}

func weightsTest(t *testing.T, o engine.Options, policy table.SwapPolicy, f func(t *testing.T, r *weightsRig)) {
	t.Helper()
	w := &weightsRig{p: &publisher{}}
	inBubble(t, o, func(c *Config) {
		w.store = tableservice.New(tableservice.Options{})
		c.Targets, c.Fencer = w.p, NewTableFencer(w.store, agentID)
		c.TargetInterval = time.Second
		c.Holder = tablesync.NewHolder()
		doc := document(1, table.Row{Swap: policy})
		if _, err := c.Holder.Install(doc); err != nil {
			t.Fatal(err)
		}
	}, func(t *testing.T, r *rig) {
		w.rig = r
		f(t, w)
	})
}

// report returns the agent's current report of the model.
func (r *weightsRig) report() wire.ModelReport {
	for _, m := range r.agent.Report().Models {
		if m.Model == model {
			return m
		}
	}
	return wire.ModelReport{}
}

// waitReady waits until the version is reported as ready, and returns how long that
// took. It fails after bound.
func (r *weightsRig) waitReady(version uint64, bound time.Duration) time.Duration {
	r.t.Helper()
	began := time.Now()
	for time.Since(began) < bound {
		if r.report() == (wire.ModelReport{Model: model, Version: version, Ready: true}) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatalf("after %s the agent reports %+v, want version %d", bound, r.report(), version)
	return 0
}

// wantReportedVersion checks that a version reported as ready is the one that the engine
// has.
func (r *weightsRig) wantReportedVersion() {
	r.t.Helper()
	s, err := r.engine.Status(context.Background())
	rep := r.report()
	if err == nil && rep.Ready && (len(s.Models) != 1 || s.Models[0].Version != rep.Version) {
		r.t.Fatalf("the agent reports %+v, the engine has %+v", rep, s.Models)
	}
}

func TestSwapAtOnceLabelsBothVersions(t *testing.T) {
	weightsTest(t, engine.Options{LoadTime: time.Second}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.engine.SlowBy(20) // the run takes about 4 s
		running := r.async(generation("g"))
		synctest.Wait()
		r.p.publish(4)
		r.waitReady(4, 5*time.Second)
		a := <-running
		rec := r.record("g")
		if a.final.Done == nil || a.final.Done.Text != rec.Text || len(a.final.Done.Spans) != 2 {
			t.Fatalf("got %+v", a)
		}
		for i, span := range a.final.Done.Spans {
			if span != rec.Spans[i] {
				t.Fatalf("labelled %v, the engine used %v", a.final.Done.Spans, rec.Spans)
			}
		}
	})
}

func TestSwapDrainWaitsForStreams(t *testing.T) {
	weightsTest(t, engine.Options{Slots: 2}, table.SwapDrain, func(t *testing.T, r *weightsRig) {
		r.engine.SlowBy(20)
		running := r.async(generation("old"))
		synctest.Wait()
		r.p.publish(4)
		time.Sleep(2 * time.Second)
		if r.report().Ready {
			t.Fatal("a model that drains for a swap is reported as ready")
		}
		queued := r.async(generation("new"))
		synctest.Wait()
		r.wantNotRun("new")
		if a := <-running; len(a.final.Done.Spans) != 1 || a.final.Done.Spans[0].Version != 3 {
			t.Fatalf("the running stream got %v", a.final.Done.Spans)
		}
		if a := <-queued; len(a.final.Done.Spans) != 1 || a.final.Done.Spans[0].Version != 4 {
			t.Fatalf("the queued stream got %v", a.final.Done.Spans)
		}
	})
}

func TestBrokenLoadIsQuarantinedAndRetried(t *testing.T) {
	weightsTest(t, engine.Options{LoadTime: 200 * time.Millisecond}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.engine.FailNextLoads(3)
		r.p.publish(4)
		began := time.Now()
		for time.Since(began) < 3*time.Second {
			time.Sleep(10 * time.Millisecond)
			r.wantReportedVersion()
		}
		r.waitReady(4, time.Minute)
	})
}

func TestLostLoadReplyIsRecognised(t *testing.T) {
	weightsTest(t, engine.Options{LoadTime: 200 * time.Millisecond}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.engine.LoseNextLoadReplies(1)
		r.p.publish(4)
		r.waitReady(4, 3*time.Second)
		r.wantReportedVersion()
	})
}

// TestStaleStatusIsIgnored: a status from before an order's completion must neither
// put the old weights back into service nor cause a second order.
func TestStaleStatusIsIgnored(t *testing.T) {
	weightsTest(t, engine.Options{LoadTime: 100 * time.Millisecond}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.engine.StatusLag(time.Second)
		r.p.publish(4)
		ordered := false
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
			rep := r.report()
			ordered = ordered || !rep.Ready
			if ordered && rep.Ready && rep.Version != 4 {
				t.Fatalf("after the order the agent reports %+v", rep)
			}
		}
		req := generation("g")
		req.MinVersion = 4
		if a := r.run(req); a.final.Done == nil || a.final.Done.Spans[0].Version != 4 {
			t.Fatalf("got %+v", a)
		}
	})
}

// TestBrokenWeightsAreRemovedFromService: a load that this agent did not order fails halfway. The
// model must leave service and its queued runs must be refused.
func TestBrokenWeightsAreRemovedFromService(t *testing.T) {
	weightsTest(t, engine.Options{Slots: 1}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.engine.SlowBy(100)
		running := r.async(generation("running"))
		synctest.Wait()
		queued := r.async(generation("queued"))
		r.engine.FailNextLoads(1)
		if err := r.engine.Load(t.Context(), endpoint.Order{Fence: 100, Model: model, Version: 4}); err == nil {
			t.Fatal("the load did not fail")
		}
		time.Sleep(time.Second)
		if rep := r.report(); rep.Ready {
			t.Fatalf("with broken weights the agent reports %+v", rep)
		}
		wantRefusal(t, <-queued, api.CodeNoEndpoint, api.NotRunTrue)
		wantRefusal(t, r.run(generation("new")), api.CodeNoEndpoint, api.NotRunTrue)
		r.wantNotRun("queued")
		r.wantNotRun("new")
		r.engine.Crash()
		<-running
	})
}

func TestRestartedEngineGetsItsWeightsBack(t *testing.T) {
	weightsTest(t, engine.Options{LoadTime: 100 * time.Millisecond}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		running := r.async(generation("g"))
		time.Sleep(50 * time.Millisecond)
		r.engine.Crash()
		wantRefusal(t, <-running, api.CodeEndpointFailed, api.NotRunFalse)
		synctest.Wait() // the broken stream makes the agent request a status at once
		if r.report().Ready {
			t.Fatal("an engine without weights is reported as ready")
		}
		r.waitReady(3, 5*time.Second)
	})
}

func TestNewerAgentTakesOverOrders(t *testing.T) {
	weightsTest(t, engine.Options{}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		next, err := NewTableFencer(r.store, agentID).Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if err := r.engine.Load(t.Context(), endpoint.Order{Fence: next, Model: model, Version: 5}); err != nil {
			t.Fatal(err)
		}
		r.p.publish(6) // this agent's fencing number is smaller
		time.Sleep(30 * time.Second)
		if rep := r.report(); rep != (wire.ModelReport{Model: model, Version: 5, Ready: true}) {
			t.Fatalf("the older agent reports %+v", rep)
		}
	})
}

func TestNoOrdersWithoutFencingNumber(t *testing.T) {
	weightsTest(t, engine.Options{}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		r.waitReady(3, time.Second) // by then the agent has drawn its fencing number
		r.agent.mu.Lock()
		r.agent.fence = 0
		r.agent.mu.Unlock()
		r.p.publish(4)
		time.Sleep(10 * time.Second)
		if v := r.report().Version; v != 3 {
			t.Fatalf("version %d was loaded without a fencing number", v)
		}
	})
}

func TestFrozenEngineIsRemovedFromService(t *testing.T) {
	weightsTest(t, engine.Options{Slots: 1}, table.SwapAtOnce, func(t *testing.T, r *weightsRig) {
		running := r.async(generation("running"))
		synctest.Wait()
		queued := r.async(generation("queued"))
		synctest.Wait()
		r.engine.Freeze()
		wantRefusal(t, <-queued, api.CodeNoEndpoint, api.NotRunTrue)
		if rep := r.agent.Report(); rep.Healthy || rep.Models[0].Ready {
			t.Fatalf("a frozen engine is reported as %+v", rep)
		}
		wantRefusal(t, r.run(generation("new")), api.CodeNoEndpoint, api.NotRunTrue)
		wantRefusal(t, <-running, api.CodeEndpointFailed, api.NotRunFalse)
		r.engine.Thaw()
		time.Sleep(time.Second)
		if a := r.run(generation("after")); a.final.Done == nil {
			t.Fatalf("after the thaw: %+v", a)
		}
		r.wantNotRun("queued")
		r.wantNotRun("new")
	})
}

func TestTableFencer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tableservice.New(tableservice.Options{})
		one, two := NewTableFencer(store, "e"), NewTableFencer(store, "e")
		var last uint64
		for i := range 10 {
			f := one
			if i%2 == 1 {
				f = two
			}
			if i%3 == 1 {
				store.LoseNextReplies(1)
			}
			n, err := f.Next(t.Context())
			if (err != nil) != (i%3 == 1) {
				t.Fatalf("draw %d: %d, %v", i, n, err)
			}
			if err == nil && n <= last {
				t.Fatalf("draw %d gave %d after %d", i, n, last)
			}
			last = max(last, n)
		}
		if last < 8 {
			t.Fatalf("numbers whose replies were lost were drawn again: %d", last)
		}
		store.StaleReads(true)
		if n, err := one.Next(t.Context()); err != nil || n <= last {
			t.Fatalf("before a read is stale: %d, %v", n, err)
		}
		if n, err := two.Next(t.Context()); !errors.Is(err, platform.ErrPrecondition) {
			t.Fatalf("on a stale read: %d, %v", n, err)
		}
		store.Outage(true)
		if _, err := one.Next(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("in an outage: %v", err)
		}
	})
}

// countingFencer always returns 1.
type countingFencer struct{}

func (countingFencer) Next(context.Context) (uint64, error) { return 1, nil }
