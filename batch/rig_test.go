package batch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store/relay"
)

// engine calls f with the lock held, to change or read a fake engine.
func (r *workerRig) engine(i int, f func(e *fakeEngine)) {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	f(r.engines.engines[engineAddr(i)])
}

// runs returns all runs so far.
func (r *workerRig) runs() []fakeRun {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return slices.Clone(r.engines.runs)
}

// openStreams returns the number of runs that are open at an engine.
func (r *workerRig) openStreams(i int) int {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	return r.engines.engines[engineAddr(i)].openStreams
}

// fakePeers calls the workers of a rig directly.
type fakePeers struct {
	mu            sync.Mutex
	workers       map[string]*Worker   // by host
	unreachable   map[string]bool      // by host
	cutOff        map[string]bool      // by host: agents that reach nobody and that nobody reaches
	callsByEngine map[string]int       // by the caller's engine
	callsByPair   map[[2]string]int    // by the caller's engine and the called one's host
	latency       time.Duration        // of each call, to the agent and back
	drawLatency   func() time.Duration // of the way to the agent, and of the way back; nil for latency
	takesNothing  map[string]bool      // by host: agents that take no items from others, though they are up
	open          map[string]int       // calls that have no answer yet, by the caller's engine
	mostOpen      int                  // the most of these at a time
}

// wait lets a call take its time.
func (p *fakePeers) wait(ctx context.Context, from string, latency time.Duration) {
	p.mu.Lock()
	p.open[from]++
	p.mostOpen = max(p.mostOpen, p.open[from])
	p.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.open[from]--
	p.mu.Unlock()
}

func (p *fakePeers) Call(ctx context.Context, addr string, req *PeerRequest) (*PeerReply, error) {
	if p.latency > 0 {
		p.wait(ctx, req.From, p.latency)
	}
	if p.drawLatency != nil {
		p.wait(ctx, req.From, p.drawLatency())
		defer func() { p.wait(ctx, req.From, p.drawLatency()) }()
	}
	host, _, _ := net.SplitHostPort(addr)
	p.mu.Lock()
	from, _, _ := net.SplitHostPort(req.From)
	w, isCut := p.workers[host], p.unreachable[host] || p.cutOff[host] || p.cutOff[from]
	p.callsByEngine[req.From]++
	p.callsByPair[[2]string{req.From, host}]++
	p.mu.Unlock()
	if w == nil || isCut {
		return nil, errors.New("silent")
	}
	if req.Give != nil && p.takesNothing[host] {
		return &PeerReply{}, nil
	}
	return w.Serve(req), nil
}

// workerRig is a deployment of n agents with their engines.
type workerRig struct {
	t            *testing.T
	store        *rowstore.Store
	storeClients map[string]*rowstore.Client // of each agent, by its engine's address
	engines      *fakeEngines
	peers        *fakePeers
	rewards      *fakeRewards
	view         *fleet.View
	stops        map[string]context.CancelFunc
	ledger       *Ledger
	services     []string // of the engines, by number
	// withRewards gives each item a reward call.
	withRewards bool
	// knownPaces are the paces of the engines that the jobs of submitStep name; nil for none.
	knownPaces []int
}

func engineAddr(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

func newWorkerRig(t *testing.T, n int) *workerRig {
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "svc", Models: []string{"m"}}}}
	return newWorkerRigOf(t, config, slices.Repeat([]string{"svc"}, n))
}

// newWorkerRigOf is newWorkerRig for engines of several services.
func newWorkerRigOf(t *testing.T, config *fleet.Config, services []string) *workerRig {
	s := rowstore.New()
	rig := &workerRig{
		t: t, services: services, store: s, storeClients: map[string]*rowstore.Client{}, view: fleet.NewView(), stops: map[string]context.CancelFunc{}, ledger: newLedger(s),
		engines: &fakeEngines{engines: map[string]*fakeEngine{}, lengths: map[string]int{}, open: map[string]int{}, doubled: map[string]bool{}},
		rewards: &fakeRewards{latency: 200 * time.Millisecond, nextErrors: map[string][]error{}, laterErrors: map[string]error{}},
		peers:   &fakePeers{workers: map[string]*Worker{}, unreachable: map[string]bool{}, cutOff: map[string]bool{}, callsByEngine: map[string]int{}, callsByPair: map[[2]string]int{}, open: map[string]int{}},
	}
	rig.view.SetConfig(config)
	for i := range services {
		rig.engines.engines[engineAddr(i)] = &fakeEngine{version: 1, startErrors: map[string][]error{}, breakAfter: map[string]int{}}
		rig.register(i, false)
	}
	for i := range services {
		rig.start(i)
	}
	time.Sleep(100 * time.Millisecond)
	return rig
}

// register lists an engine as an instance.
func (r *workerRig) register(i int, draining bool) {
	r.view.UpdateInstances([]fleet.Instance{{
		ID: fmt.Sprint("engine-", i), Service: r.services[i], Addr: engineAddr(i), Slots: 4, Draining: draining,
	}}, nil)
}

// start starts an agent.
func (r *workerRig) start(i int) *Worker {
	addr := engineAddr(i)
	client := r.store.Client()
	r.storeClients[addr] = client
	withFallback := &relay.Store{Direct: client, Peers: &rigPeers{r, addr}}
	w := NewWorker(WorkerConfig{
		Direct: client,
		Node:   fmt.Sprint("agent-", i), Incarnation: fmt.Sprint(time.Now().UnixNano()), Engine: addr, Service: r.services[i],
		PeerPort: 7000, View: r.view, Ledger: newLedger(withFallback), Demand: NewDemand(), Engines: r.engines, Peers: r.peers, Rewards: r.rewards,
		Now: r.store.Now, Log: observe.Discard(), Counters: observe.NewCounters(),
	})
	host, _, _ := net.SplitHostPort(addr)
	r.peers.mu.Lock()
	r.peers.workers[host] = w
	r.peers.mu.Unlock()
	ctx, cancel := context.WithCancel(r.t.Context())
	r.stops[addr] = cancel
	go w.Run(ctx)
	return w
}

// addrs returns the addresses of the engines, by number.
func (r *workerRig) addrs() []string {
	list := make([]string, len(r.engines.engines))
	for i := range list {
		list[i] = engineAddr(i)
	}
	return list
}

// kill stops an agent at once, without draining it.
func (r *workerRig) kill(i int) {
	r.stops[engineAddr(i)]()
	host, _, _ := net.SplitHostPort(engineAddr(i))
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	delete(r.peers.workers, host)
}

// cutOff cuts an agent off from the others.
func (r *workerRig) cutOff(i int) {
	host, _, _ := net.SplitHostPort(engineAddr(i))
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	r.peers.cutOff[host] = true
}

// submitLong submits a job with one item that runs for four seconds, and returns after two
// seconds, when all other items are done.
func (r *workerRig) submitLong(id string, n int, long string) {
	r.engines.lengths[long] = 100
	r.submit(id, n, nil)
	time.Sleep(2 * time.Second)
}

// submit accepts a job of n items that is owned by all engines.
func (r *workerRig) submit(id string, n int, change func(*Job)) {
	job := someJob(id, n)
	job.Model, job.MinVersion = "m", 1
	for addr := range r.engines.engines {
		job.Owners = append(job.Owners, addr)
	}
	slices.Sort(job.Owners)
	job.Ready = len(job.Owners)
	job.Accepted, _ = r.store.Now()
	if change != nil {
		change(job)
	}
	items := someItems(n)
	for i := range items {
		items[i].Group = ""
		if r.withRewards {
			items[i].Reward = &RewardCall{ID: rewardOf(items[i].ID), Host: "h", Path: "/score/" + items[i].ID}
		}
	}
	must(r.t, r.ledger.Submit(r.t.Context(), job, items))
}

// await returns the results of a job once there are n, and fails the test after limit.
func (r *workerRig) await(id string, n int, limit time.Duration) *Listing {
	r.t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		l, err := r.ledger.Results(r.t.Context(), id)
		must(r.t, err)
		if len(l.Results) >= n {
			return l
		}
		if time.Since(began) > limit {
			r.t.Fatalf("%d of %d results after %v", len(l.Results), n, limit)
		}
	}
}

// requireComplete checks that each text has every event once, in order.
func (r *workerRig) requireComplete(l *Listing) {
	r.t.Helper()
	for _, x := range l.Results {
		length := 10
		if n, ok := r.engines.lengths[x.ID]; ok {
			length = n
		}
		var want []string
		for i := range length {
			want = append(want, fmt.Sprintf("%s event %d", x.ID, i+1))
		}
		if x.State != StateDone || x.Output != strings.Join(want, "\n") {
			r.t.Fatalf("item %s: %s with %d lines instead of %d", x.ID, x.State, strings.Count(x.Output, "\n")+1, length)
		}
	}
}

// runsOf returns the runs of an item so far.
func (r *workerRig) runsOf(item string) []fakeRun {
	r.engines.mu.Lock()
	defer r.engines.mu.Unlock()
	var runs []fakeRun
	for _, run := range r.engines.runs {
		if run.item == item {
			runs = append(runs, run)
		}
	}
	return runs
}

// bubble runs a test on virtual time; the rig's goroutines end with its context.
func bubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, test)
}
