package batch

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// These tests guard against accepted jobs that are bound to the service which they were accepted for: when that one
// had lost its engines, nothing of the job ran, though engines of another service of its route were idle, and all
// items were given up.

const (
	splitItems = 24
	// poolEngines are the engines of the larger service; the smaller one has one, with number 0.
	poolEngines = 3
	// unlistTime is how long the list of instances still has an engine that has crashed.
	unlistTime = 4 * time.Second
	// takeoverLimit is how long items may be at no engine once their service has none.
	takeoverLimit = 3 * time.Second
)

// splitConfig returns a configuration with a route over the services "small" and "large".
func splitConfig(version uint64, small, large float64) *fleet.Config {
	config := &fleet.Config{
		Version: version,
		Services: []fleet.Service{
			{Name: "small", Models: []string{"m"}}, {Name: "large", Models: []string{"m"}}, {Name: "other models", Models: []string{"x"}},
		},
		Routes: []fleet.Route{{
			Name: "r", Host: "h.example", Prefix: "/b/", Kind: fleet.KindBatch,
			Backends: []fleet.Backend{{Service: "small", Weight: small}, {Service: "large", Weight: large}, {Service: "other models", Weight: 1}},
		}},
	}
	config.Index()
	return config
}

// newSplitRig returns a rig with one engine of the service "small" and poolEngines of another one.
func newSplitRig(t *testing.T, config *fleet.Config, large string) *workerRig {
	services := []string{"small"}
	for range poolEngines {
		services = append(services, large)
	}
	return newWorkerRigOf(t, config, services)
}

// submitSmall submits a job of some two seconds that was accepted for the service "small", and returns when it runs.
func (r *workerRig) submitSmall() {
	for i := range splitItems {
		r.engines.lengths[fmt.Sprintf("item-%03d", i)] = 30
	}
	r.submit("j", splitItems, func(j *Job) {
		j.Service, j.Host, j.Prefix, j.ItemTTL = "small", "h.example:80", "/b/", 40*time.Second
		j.Owners = []string{engineAddr(0)}
		j.Ready = 1
	})
	time.Sleep(time.Second)
}

// loseSmall crashes the engine of the service "small" for good.
func (r *workerRig) loseSmall() {
	r.engine(0, func(e *fakeEngine) { e.down = true })
	time.AfterFunc(unlistTime, func() { r.unlist(0) })
}

// unlist removes an engine from the list of instances.
func (r *workerRig) unlist(i int) { r.view.UpdateInstances(nil, []string{fmt.Sprint("engine-", i)}) }

// runsAt returns how many runs of items the engines of the larger service have had.
func (r *workerRig) runsAtLarge() int {
	n := 0
	for _, run := range r.runs() {
		if run.engine != engineAddr(0) {
			n++
		}
	}
	return n
}

// TestJobOutlivesTheEnginesOfItsService: the service of an accepted job loses its only engine, and another service of
// the route has idle ones.
func TestJobOutlivesTheEnginesOfItsService(t *testing.T) {
	for name, disturb := range map[string]func(r *workerRig){
		"engine crashes":            func(r *workerRig) { r.loseSmall() },
		"engine and agent are lost": func(r *workerRig) { r.loseSmall(); r.kill(0) },
		"agent is stopped": func(r *workerRig) {
			go r.peers.workers["10.0.0.1"].Drain(r.t.Context(), 2*time.Second)
		},
		"engine drains":           func(r *workerRig) { r.register(0, true) },
		"moved, then crashes":     func(r *workerRig) { r.view.SetConfig(splitConfig(2, 0, 1)); r.loseSmall() },
		"service is removed":      func(r *workerRig) { r.view.SetConfig(withoutSmall()) },
		"removed, agent is lost":  func(r *workerRig) { r.view.SetConfig(withoutSmall()); r.kill(0) },
		"crashes, comes back":     func(r *workerRig) { r.loseSmall(); time.AfterFunc(5*time.Second, r.returnSmall) },
		"crashes while weights 0": func(r *workerRig) { r.view.SetConfig(splitConfig(2, 1, 0)); r.loseSmall(); r.moveLater() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
				rig.submitSmall()
				disturb(rig)
				rig.requireComplete(rig.await("j", splitItems, unlistTime+takeoverLimit+4*time.Second))
				if n := len(rig.engines.doubled); n > 0 {
					t.Errorf("%d items ran at two engines at once", n)
				}
			})
		})
	}
}

// withoutSmall returns a configuration whose route has moved to "large" and that doesn't have "small" any more.
func withoutSmall() *fleet.Config {
	config := splitConfig(2, 0, 1)
	config.Services = config.Services[1:]
	config.Routes[0].Backends = config.Routes[0].Backends[1:]
	return config
}

// returnSmall brings the engine of "small" back with a new incarnation.
func (r *workerRig) returnSmall() {
	r.engine(0, func(e *fakeEngine) { e.down, e.startedAt = false, time.Now().UnixMilli() })
	r.register(0, false)
}

// moveLater moves the route to "large" once its engine is no longer listed.
func (r *workerRig) moveLater() {
	time.AfterFunc(unlistTime+time.Second, func() { r.view.SetConfig(splitConfig(3, 0, 1)) })
}

// TestSplitServicesKeepTheirShares guards against a takeover while the job's own service has engines: idle engines of
// the other service would take its items, whatever the weights say.
func TestSplitServicesKeepTheirShares(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
		rig.submitSmall()
		rig.requireComplete(rig.await("j", splitItems, 20*time.Second))
		if n := rig.runsAtLarge(); n > 0 {
			t.Errorf("%d runs at the other service", n)
		}
	})
}

// TestJobStaysWithEnginesOfItsModel guards against items that wait at engines which never load their model.
func TestJobStaysWithEnginesOfItsModel(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newSplitRig(t, splitConfig(1, 9, 1), "other models")
		rig.submitSmall()
		rig.loseSmall()
		time.Sleep(10 * time.Second)
		if n := rig.runsAtLarge(); n > 0 {
			t.Errorf("%d runs at engines of other models", n)
		}
		rig.returnSmall()
		rig.requireComplete(rig.await("j", splitItems, 20*time.Second))
	})
}

// TestJobWithoutOwnersRuns guards against jobs that were accepted while no engine was listed and that nobody runs.
func TestJobWithoutOwnersRuns(t *testing.T) {
	for _, model := range []string{"m", ""} {
		for _, owners := range [][]string{nil, {"10.0.9.9:80"}} {
			t.Run(fmt.Sprintf("model %q, owners %v", model, owners), func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
					rig.unlist(0)
					rig.submit("j", splitItems, func(j *Job) {
						j.Service, j.Host, j.Prefix, j.Model, j.ItemTTL = "small", "h.example", "/b/", model, 40*time.Second
						j.Owners, j.Ready = owners, 0
					})
					rig.requireComplete(rig.await("j", splitItems, 10*time.Second))
				})
			})
		}
	}
}

// TestSubmissionGoesToAServiceWithEngines guards against jobs that are accepted for a service without engines.
func TestSubmissionGoesToAServiceWithEngines(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newSplitRig(t, splitConfig(1, 1, 0), "large")
		in := &Intake{View: rig.view, Demand: NewDemand()}
		accepted := func(route *fleet.Route) *Job {
			return in.newJob(Submission{ID: "j", Route: route, Model: "m", Items: someItems(2)}, 0)
		}
		if got := accepted(&splitConfig(1, 1, 1e-9).Routes[0]); got.Service == "large" {
			t.Errorf("accepted for %s while %q has engines", got.Service, "small")
		}
		rig.unlist(0)
		if got := accepted(&splitConfig(1, 1, 1e-9).Routes[0]); got.Service != "large" || len(got.Owners) == 0 {
			t.Errorf("accepted for %s, owners %v", got.Service, got.Owners)
		}
	})
}
