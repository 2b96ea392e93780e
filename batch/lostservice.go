package batch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/pause"
)

const (
	// lostAfter is how long none of the agents of a service may answer before other services run its jobs.
	lostAfter = time.Second
	// regainInterval is how often an agent asks the agents of a lost service, so that it soon leaves that one's jobs
	// to it again.
	regainInterval = time.Second
)

// lostServices are the services none of whose agents answers, as this agent sees it. Their engines may be sound and
// registered, but nobody runs anything on them. It is safe for concurrent use.
type lostServices struct {
	mu          sync.Mutex
	silentSince map[string]time.Time
	lost        map[string]bool
}

func newLostServices() *lostServices {
	return &lostServices{silentSince: map[string]time.Time{}, lost: map[string]bool{}}
}

// has reports whether a service is lost.
func (l *lostServices) has(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost[service]
}

// all returns the lost services, sorted.
func (l *lostServices) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.lost))
}

// forgetUnwatched forgets the silence of services that are not lost and whose agents are not asked any more. It says
// nothing of the time until they are asked again.
func (l *lostServices) forgetUnwatched(watched map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.silentSince, func(service string, _ time.Time) bool {
		_, asked := watched[service]
		return !asked && !l.lost[service]
	})
}

// nextCheck returns after which time the agents of silent services are asked again; false if there are none.
func (l *lostServices) nextCheck() (after time.Duration, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.silentSince) > len(l.lost) {
		return 0, true
	}
	return regainInterval, len(l.lost) > 0
}

// note records whether an agent of a service answered, and reports whether the service is lost or regained by that.
func (l *lostServices) note(service string, answered bool, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.lost[service]
	if answered {
		delete(l.silentSince, service)
		delete(l.lost, service)
		return was
	}
	since, silent := l.silentSince[service]
	if !silent {
		l.silentSince[service] = now
		return false
	}
	if was || now.Sub(since) < lostAfter {
		return false
	}
	l.lost[service] = true
	return true
}

// watchServices asks the agents of other services that run jobs which this one may run, until ctx is done. All agents
// of this service share the calls, unless a service is silent.
func (w *Worker) watchServices(ctx context.Context) {
	checks := sharedInterval{draw: rand.Float64}
	var last time.Time
	for pause.Sleep(ctx, rebalanceInterval) == nil {
		now := time.Now()
		due := checks.due(now, max(1, len(w.View.Snapshot().OfService(w.Service))))
		after, silent := w.lostServices.nextCheck()
		if !due && !(silent && now.Sub(last) >= after) {
			continue
		}
		last = now
		watched := w.enginesElsewhere()
		w.lostServices.forgetUnwatched(watched)
		for service, engines := range watched {
			w.checkService(ctx, service, engines)
		}
	}
}

// checkService notes whether any agent of a service answers. An agent that reaches no agent of its own service
// either is cut off itself and concludes nothing.
func (w *Worker) checkService(ctx context.Context, service string, engines []string) {
	answered := w.anyAnswers(ctx, engines)
	if !answered && w.isCutOff(ctx) {
		return
	}
	if !w.lostServices.note(service, answered, time.Now()) {
		return
	}
	w.mu.Lock()
	w.foreignChecked = nil // its jobs run elsewhere now
	w.mu.Unlock()
	log := w.Log.WithField("service", service)
	if answered {
		log.Info("service has agents again")
		return
	}
	log.Warn("service has no agent left: its jobs run on other services of their routes")
}

// anyAnswers reports whether any of the agents answers, of which it asks a few first.
func (w *Worker) anyAnswers(ctx context.Context, engines []string) bool {
	first := sampleEngines(engines, stealFanout)
	if len(w.queryStatuses(ctx, nil, first)) > 0 {
		return true
	}
	rest := slices.DeleteFunc(slices.Clone(engines), func(e string) bool { return slices.Contains(first, e) })
	return len(w.queryStatuses(ctx, nil, rest)) > 0
}

// isCutOff reports whether this agent reaches no other agent of its service, though there are some.
func (w *Worker) isCutOff(ctx context.Context) bool {
	peers := engineAddrs(w.View.Snapshot().OfService(w.Service))
	peers = slices.DeleteFunc(peers, func(e string) bool { return e == w.Engine })
	return len(peers) > 0 && !w.anyAnswers(ctx, peers)
}

// enginesElsewhere returns, by service, the engines whose agents run open jobs that this worker's service may run:
// those of the services that run them now, and those of lost services, which may have agents again.
func (w *Worker) enginesElsewhere() map[string][]string {
	snap := w.View.Snapshot()
	engines := map[string][]string{}
	for _, job := range w.jobsElsewhere(snap) {
		watched := append(w.lostServices.all(), w.currentService(job, snap))
		for _, service := range possibleServices(job, snap.Config) {
			if service != w.Service && slices.Contains(watched, service) {
				engines[service] = sortedUnion(engines[service], w.helpers(job, service, snap), ownersIn(job, service, snap))
			}
		}
	}
	maps.DeleteFunc(engines, func(_ string, list []string) bool { return len(list) == 0 })
	return engines
}

// jobsElsewhere returns the open jobs of other services that this worker's service may run.
func (w *Worker) jobsElsewhere(snap *fleet.Snapshot) []*Job {
	now, known := w.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Job
	add := func(job *Job) {
		age := now - job.Accepted
		if known && job.Service != w.Service && age >= minRebalanceAge && age <= job.ItemTTL && mayRunOn(job, snap.Config, w.Service) {
			list = append(list, job)
		}
	}
	for _, job := range w.foreign {
		add(job)
	}
	for _, j := range w.jobs {
		if !j.ended && !j.finished {
			add(j.job)
		}
	}
	return list
}

// ownersIn returns the owners of a job that are engines of a service.
func ownersIn(job *Job, service string, snap *fleet.Snapshot) []string {
	return slices.DeleteFunc(slices.Clone(job.Owners), func(owner string) bool {
		instance, listed := snap.AtAddr(owner)
		return !listed || instance.Service != service
	})
}
