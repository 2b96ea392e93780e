package agent

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/instances"
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/internal/standin/weights"
	"mulberryscale.example/platform"
	"mulberryscale.example/table"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	spread "mulberryscale.example/weights"
)

// fleetOptions configure a fleet.
type fleetOptions struct {
	agents, zones int
	policy        table.SwapPolicy
	store         weights.Options
	engine        engine.Options
	change        func(*Config)
}

// fleet is a number of agents with their engines, on a network with a latency of 1 ms one way.
type fleet struct {
	t       *testing.T
	o       fleetOptions
	net     *memtransport.Network
	table   *tableservice.Service
	store   *weights.Store
	list    *instances.List
	nodes   []*node
	version uint64
}

type node struct {
	id     string
	engine *engine.Engine
	agent  *Agent
	dialer transport.Dialer
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

// withFleet runs f with a fleet whose engines all have version 3 loaded.
func withFleet(t *testing.T, o fleetOptions, f func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{
			t: t, o: o, net: memtransport.NewNetworkOptions(memtransport.Options{Latency: time.Millisecond}),
			table: tableservice.New(tableservice.Options{}), store: weights.New(o.store), list: instances.New(instances.Options{}),
		}
		defer fl.close()
		fl.publish(3, 0)
		for i := range o.agents {
			e := o.engine
			e.ID, e.Models = fmt.Sprintf("engine-%d", i), map[string]uint64{model: 3}
			n := &node{id: fmt.Sprintf("agent-%d", i), engine: engine.New(e)}
			fl.nodes = append(fl.nodes, n)
			fl.list.Register(platform.Instance{ID: n.id, Role: platform.RoleAgent, Zone: fl.zone(i), Addr: fl.start(n, i)})
		}
		time.Sleep(max(time.Minute, 3*spread.ListInterval(o.agents))) // until all agents have read the whole instance list
		f(fl)
	})
}

func (f *fleet) zone(i int) string { return fmt.Sprintf("zone-%d", i%f.o.zones) }

// start starts a node's agent, also after a kill, and returns its address.
func (f *fleet) start(n *node, i int) string {
	l, err := f.net.Listen(transport.PeerID(n.id), "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n.dialer = f.net.Dialer(transport.PeerID(n.id))
	cfg := Config{
		ID: n.id, Zone: f.zone(i), Listener: l, Dialer: n.dialer, Engine: n.engine, Seed: uint64(i + 1),
		Targets: f.store, Weights: f.store, Instances: f.list, Fencer: NewTableFencer(f.table, n.id), Holder: tablesync.NewHolder(),
	}
	if _, err := cfg.Holder.Install(document(1, table.Row{Swap: f.o.policy})); err != nil {
		f.t.Fatal(err)
	}
	if f.o.change != nil {
		f.o.change(&cfg)
	}
	if n.agent, err = New(cfg); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.ended.Go(func() {
		if err := n.agent.Run(ctx); err != nil {
			f.t.Error(err)
		}
	})
	return l.Addr()
}

// kill crashes a node's agent; the instance list still names it afterwards.
func (f *fleet) kill(n *node) {
	f.net.Kill(transport.PeerID(n.id))
	n.stop()
	n.ended.Wait()
	n.dialer.Close()
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.engine.Thaw()
		f.kill(n)
	}
	time.Sleep(2 * time.Minute) // until the engines' loads have finished
}

// publish publishes a version with the given number of parts.
func (f *fleet) publish(version uint64, parts int) {
	var specs []weights.PartSpec
	for i := range parts {
		specs = append(specs, weights.PartSpec{Name: fmt.Sprintf("part-%d", i), Size: partBytes})
	}
	if err := f.store.Publish(model, version, specs); err != nil {
		f.t.Fatal(err)
	}
	f.version = version
}

const partBytes = 4 << 10

// waitReady waits until the nodes report the newest version as ready, and returns
// how long each took, in ascending order. It fails after bound.
func (f *fleet) waitReady(bound time.Duration, nodes ...*node) []time.Duration {
	f.t.Helper()
	began := time.Now()
	var took []time.Duration
	for waiting := slices.Clone(nodes); len(waiting) > 0; time.Sleep(time.Millisecond) {
		waiting = slices.DeleteFunc(waiting, func(n *node) bool {
			m := n.agent.Report().Models
			if len(m) != 1 || m[0].Version != f.version || !m[0].Ready {
				return false
			}
			took = append(took, time.Since(began))
			return true
		})
		if time.Since(began) > bound {
			f.t.Fatalf("after %s %d of %d engines do not have version %d, among them %s: %+v",
				bound, len(waiting), len(nodes), f.version, waiting[0].id, waiting[0].agent.Report())
		}
	}
	return took
}

// partCounts returns how many parts the nodes fetched from peers and from the store.
func (f *fleet) partCounts() (peer, store int64) {
	for _, n := range f.nodes {
		s := n.agent.distribution.relay.Stats()
		peer += s.PeerParts
		store += s.StoreParts
	}
	return peer, store
}

// spreadSizes lists the fleet sizes of TestWeightsSpread; docs/WEIGHTS.md names those of
// its figures.
var spreadSizes = flag.String("spread.sizes", "8,64", "numbers of agents of TestWeightsSpread")

// TestWeightsSpread: all engines get each new version, while the parts are read
// from the store about once and the store is polled for new versions at a bounded rate.
// The logged times include only the network's latency, 1 ms one way, and no bandwidth
// limit.
func TestWeightsSpread(t *testing.T) {
	const parts, rounds = 24, 5
	for _, size := range strings.Split(*spreadSizes, ",") {
		t.Run(size, func(t *testing.T) {
			agents, err := strconv.Atoi(size)
			if err != nil {
				t.Fatal(err)
			}
			withFleet(t, fleetOptions{agents: agents, zones: 3}, func(f *fleet) {
				began, readsBefore := time.Now(), f.store.Counts().Reads
				var slowest, sum time.Duration
				for range rounds {
					f.publish(f.version+1, parts)
					f.waitReady(time.Minute, f.nodes...)
					took := f.spreadTime()
					slowest, sum = max(slowest, took), sum+took
					time.Sleep(20 * time.Second)
				}
				peer, store := f.partCounts()
				reads := float64(f.store.Counts().Reads-readsBefore) / time.Since(began).Seconds()
				t.Logf("%d agents: on all engines after mean %s, worst %s; store: %.2f parts of %d, %.1f reads/s",
					agents, sum/rounds, slowest, float64(store)/rounds, parts, reads)
				if store < rounds*parts || store > 2*rounds*parts || peer+store != int64(agents*parts*rounds) {
					t.Fatalf("%d parts came from the store and %d from peers, want each of %d parts about once from the store", store, peer, rounds*parts)
				}
				if bound := 1.5*spread.DefaultStoreReads + rounds*2*parts/time.Since(began).Seconds(); reads > bound {
					t.Fatalf("%.1f reads/s of the store, want at most %.1f", reads, bound)
				}
			})
		})
	}
}

// spreadTime returns the time since the first agent learned of the newest version. It is
// called when all engines have that version.
func (f *fleet) spreadTime() time.Duration {
	first := time.Now()
	for _, n := range f.nodes {
		n.agent.mu.Lock()
		if at := n.agent.engine.models[model].learnedAt; at.Before(first) {
			first = at
		}
		n.agent.mu.Unlock()
	}
	return time.Since(first)
}
