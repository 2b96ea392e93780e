package agent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/table"
	"mulberryscale.example/wire"
)

// blockingEngine can block orders, like a frozen process or a slow connection, and
// later passes them on to the engine even if their sender was replaced meanwhile.
type blockingEngine struct {
	endpoint.Engine
	mu       sync.Mutex
	block    bool
	released chan struct{}
	orders   int
}

func (b *blockingEngine) Load(ctx context.Context, o endpoint.Order) error {
	b.mu.Lock()
	b.orders++
	block := b.block
	b.mu.Unlock()
	if block {
		<-b.released
		ctx = context.Background()
	}
	return b.Engine.Load(ctx, o)
}

// twoAgents runs f with two agents of one engine, which ignores or checks fencing
// numbers. The older agent runs, and its orders go through a blockingEngine; f starts
// the newer agent if its case needs one.
func twoAgents(t *testing.T, ignoreFence bool, f func(t *testing.T, fl *fleet, blocking *blockingEngine, older, newer *node)) {
	t.Helper()
	blocking := &blockingEngine{released: make(chan struct{})}
	o := fleetOptions{agents: 1, zones: 1, policy: table.SwapAtOnce, engine: engine.Options{IgnoreFence: ignoreFence, LoadTime: 100 * time.Millisecond}}
	o.change = func(c *Config) {
		if blocking.Engine == nil {
			blocking.Engine = c.Engine
			c.Engine = blocking
		}
		c.TargetInterval = time.Second
	}
	withFleet(t, o, func(fl *fleet) {
		blocking.released = make(chan struct{})
		older := fl.nodes[0]
		newer := &node{id: older.id, engine: older.engine}
		f(t, fl, blocking, older, newer)
		if newer.agent != nil {
			fl.kill(newer)
		}
	})
}

// rigOf returns a rig whose requests go to a node's agent.
func (f *fleet) rigOf(n *node) *rig {
	return &rig{t: f.t, net: f.net, engine: n.engine, agent: n.agent, dialer: f.net.Dialer(entryID)}
}

// TestSupersededAgentGivesNoOrders: an agent must send no orders once another one of its
// engine has drawn a fencing number. It is not notified of that, and the engine may
// ignore fencing numbers.
func TestSupersededAgentGivesNoOrders(t *testing.T) {
	for _, ignoreFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("ignoreFence=%v", ignoreFence), func(t *testing.T) {
			twoAgents(t, ignoreFence, func(t *testing.T, f *fleet, blocking *blockingEngine, older, _ *node) {
				if _, err := NewTableFencer(f.table, older.id).Next(t.Context()); err != nil {
					t.Fatal(err)
				}
				if blocking.orderCount() > 0 {
					t.Fatal("orders before anything was published")
				}
				f.publish(4, 2)
				time.Sleep(time.Minute)
				if m := older.agent.Report().Models[0]; blocking.orderCount() > 0 || m != (wire.ModelReport{Model: model, Version: 3, Ready: true}) {
					t.Fatalf("the superseded agent gave %d orders and reports %+v", blocking.orderCount(), m)
				}
			})
		})
	}
}

// TestNoUnconfirmedOrders: while the table service is down, an engine that does not
// check fencing numbers gets no orders and stays in service with its old weights.
func TestNoUnconfirmedOrders(t *testing.T) {
	twoAgents(t, true, func(t *testing.T, f *fleet, blocking *blockingEngine, older, _ *node) {
		f.table.Outage(true)
		f.publish(4, 2)
		for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(50 * time.Millisecond) {
			if m := older.agent.Report().Models[0]; blocking.orderCount() > 0 || !m.Ready {
				t.Fatalf("%d orders, %+v", blocking.orderCount(), m)
			}
		}
		f.table.Outage(false)
		f.waitReady(30*time.Second, older)
	})
}

// TestLateOrderOfAFrozenAgent: an order is delayed, its sender is replaced, the newer
// agent loads newer weights, and then the order reaches an engine that ignores fencing
// numbers. The newer agent must load its version again; while the table service is down
// it may send no orders, so the engine must stay out of service.
func TestLateOrderOfAFrozenAgent(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			twoAgents(t, true, func(t *testing.T, f *fleet, blocking *blockingEngine, older, newer *node) {
				f.blockOrder(blocking)
				f.start(newer, 0)
				f.publish(5, 2)
				f.waitReady(30*time.Second, newer)
				stop := f.keepRequesting(newer, 5)
				time.Sleep(time.Second)
				f.table.Outage(outage)
				blocking.release() // version 4 arrives
				time.Sleep(150 * time.Millisecond)
				f.wantEngineVersion(newer, 4)
				if outage {
					time.Sleep(30 * time.Second)
					f.wantEngineVersion(newer, 4)
					if m := newer.agent.Report().Models[0]; m.Ready {
						t.Fatalf("with weights that nobody ordered the agent reports %+v", m)
					}
					f.table.Outage(false)
				}
				f.waitReady(20*time.Second, newer)
				time.Sleep(time.Minute)
				f.wantEngineVersion(newer, 5)
				f.waitReady(time.Second, newer)
				stop()
			})
		})
	}
}

// blockOrder publishes version 4 and blocks the only agent's order for it.
func (f *fleet) blockOrder(blocking *blockingEngine) {
	blocking.mu.Lock()
	blocking.block = true
	blocking.mu.Unlock()
	f.publish(4, 2)
	time.Sleep(10 * time.Second)
	if n := blocking.orderCount(); n != 1 {
		f.t.Fatalf("%d orders were sent, want 1", n)
	}
}

// orderCount returns how many orders were sent, blocked ones included.
func (b *blockingEngine) orderCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.orders
}

// release passes the blocked orders on and blocks no more.
func (b *blockingEngine) release() {
	b.mu.Lock()
	b.block = false
	b.mu.Unlock()
	close(b.released)
}

// wantEngineVersion checks the version that a node's engine itself reports.
func (f *fleet) wantEngineVersion(n *node, version uint64) {
	f.t.Helper()
	if s, err := n.engine.Status(f.t.Context()); err != nil || s.Models[0].Version != version {
		f.t.Fatalf("the engine has %+v (%v), want version %d", s.Models, err, version)
	}
}

// keepRequesting runs generations that need at least minVersion until stop is called,
// and checks the delivered answers against the engine's records.
func (f *fleet) keepRequesting(n *node, minVersion uint64) (stop func()) {
	r := f.rigOf(n)
	ended := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() {
		defer r.dialer.Close()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
				f.requestOnce(r, fmt.Sprint("g-", i), minVersion)
			}
		}
	})
	return func() {
		close(ended)
		requests.Wait()
	}
}

func (f *fleet) requestOnce(r *rig, id string, minVersion uint64) {
	req := generation(id)
	req.MinVersion = minVersion
	a := r.run(req)
	if a.final.Done == nil {
		return
	}
	if rec := r.record(id); rec.Text != a.final.Done.Text || !slices.Equal(rec.Spans, a.final.Done.Spans) {
		f.t.Errorf("delivered as %v, the engine used %v", a.final.Done.Spans, rec.Spans)
	}
	for _, s := range a.final.Done.Spans {
		if s.Version < minVersion {
			f.t.Errorf("version %d was delivered, want at least %d", s.Version, minVersion)
		}
	}
}

// TestRollingSwapTakesTurns: in a rolling swap only a few engines load at the same time,
// and a request that needs newer weights makes its engine swap early.
func TestRollingSwapTakesTurns(t *testing.T) {
	const agents, load = 12, 2 * time.Second
	o := fleetOptions{agents: agents, zones: 3, policy: table.SwapRolling, engine: engine.Options{LoadTime: load}}
	o.change = func(c *Config) { c.SwapWindow = 24 * time.Second }
	withFleet(t, o, func(f *fleet) {
		f.publish(4, 2)
		most := 0
		for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(100 * time.Millisecond) {
			loading := 0
			for _, n := range f.nodes {
				if m := n.agent.Report().Models; len(m) == 0 || !m[0].Ready {
					loading++
				}
			}
			most = max(most, loading)
		}
		// Turns are 2 s apart and a load takes 2 s, so one engine would load at a time; the
		// interval of the status polls adds one.
		if most == 0 || most > 3 {
			t.Fatalf("%d of %d engines were loading at the same time", most, agents)
		}
		f.waitReady(time.Second, f.nodes...)
		f.publish(5, 2)
		time.Sleep(5 * time.Second)
		last := f.byRank(5)[agents-1]
		r := f.rigOf(last)
		defer r.dialer.Close()
		req := generation("needs-5")
		req.MinVersion = 5
		if a := r.run(req); a.final.Done == nil || a.took > 5*time.Second || a.final.Done.Spans[0].Version != 5 {
			t.Fatalf("got %+v after %s", a.final, a.took)
		}
		synctest.Wait()
	})
}
