package e2e

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/platform/enginehttp"
)

// request is a request that a client sent, or an item of a batch job.
type request struct {
	method, target, body, model string
	services                    []string // the services that may run it
	runsOnce                    bool     // may run once only
	organisation                string   // the organisation it is sent under
}

// record collects what callers and engines saw, and the violations found in it.
type record struct {
	mu              sync.Mutex
	sent            map[string]*request
	runs            map[string]int
	lookups         map[string]int              // lookups started, by organisation
	producers       map[string]map[int][]uint64 // by request and event: weight versions that produced it
	failedOnce      map[string]bool
	rewardFailures  map[string]int  // failed reward calls, by their ids
	refused         map[string]bool // requests that a response promised not to run
	crashesByTarget map[string]int  // endpoints that crashed, by request target
	namedVersions   map[string]uint64
	orders          map[string]orderer
	jobs            []*soakJob
	problems        []string
	counts          map[string]int
}

// orderer identifies the sender of an engine's last order.
type orderer struct {
	holder string
	token  uint64
}

func newRecord() *record {
	return &record{
		sent: map[string]*request{}, runs: map[string]int{}, lookups: map[string]int{}, producers: map[string]map[int][]uint64{}, failedOnce: map[string]bool{}, rewardFailures: map[string]int{},
		refused: map[string]bool{}, crashesByTarget: map[string]int{}, namedVersions: map[string]uint64{}, orders: map[string]orderer{}, counts: map[string]int{},
	}
}

// problemLocked records a violation. r.mu is held.
func (r *record) problemLocked(format string, args ...any) {
	r.problems = append(r.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *record) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problemLocked(format, args...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// add adds to a count.
func (r *record) add(what string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what] += n
}

// countOf returns a count.
func (r *record) countOf(what string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[what]
}

// requestSent records a request. It is called before the request is sent.
func (r *record) requestSent(id string, q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = q
}

// ran reports whether a request has begun to run.
func (r *record) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}

// requestsRefused records that a response promised that these requests did not and will not run.
func (r *record) requestsRefused(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.refused[id] = true
	}
}

// namedVersion returns the newest named weight version of a model, 1 if none was named;
// setNamedVersion sets it.
func (r *record) namedVersion(model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.namedVersions[model])
}

func (r *record) setNamedVersion(model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.namedVersions[model] = version
}

// checkOrder checks that the fencing tokens of an engine's orders never decrease and that a
// token has one holder.
func (r *record) checkOrder(engine, holder string, token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.orders[engine]
	if token < last.token || (token == last.token && holder != last.holder) {
		r.problemLocked("engine %s: order of %s with token %d after one of %s with token %d", engine, holder, token, last.holder, last.token)
	}
	r.orders[engine] = orderer{holder, token}
	r.counts["orders"]++
}

// runStarted checks a request whose run starts at an engine of a service.
func (r *record) runStarted(service string, a enginehttp.ReceivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[a.ID]++
	if strings.HasPrefix(a.Target, prefixLook) {
		r.lookups[a.Organisation]++
	}
	q := r.sent[a.ID]
	switch {
	case q == nil:
		r.problemLocked("request %q: run by %s, but never sent", a.ID, service)
		return
	case q.organisation != a.Organisation || a.Key != "":
		r.problemLocked("request %s: sent under %q, run under %q with the key %q", a.ID, q.organisation, a.Organisation, a.Key)
	case q.method != a.Method || q.target != a.Target || q.body != a.Body || q.model != a.Model:
		r.problemLocked("request %s: sent as %+v, run as %+v", a.ID, *q, a)
	case !slices.Contains(q.services, service):
		r.problemLocked("request %s: run by service %s, allowed are %v", a.ID, service, q.services)
	case q.runsOnce && r.runs[a.ID] > 1:
		r.problemLocked("request %s: run %d times", a.ID, r.runs[a.ID])
	case r.refused[a.ID]:
		r.problemLocked("request %s: run after it was refused", a.ID)
	}
	if item, isReward := strings.CutPrefix(a.ID, rewardPrefix); isReward {
		r.counts["reward calls"]++
		if len(r.producers[item][eventCountOf(item)]) == 0 {
			r.problemLocked("reward call %s: run before the last event of its text was produced", a.ID)
		}
	}
	if a.After == 0 {
		return
	}
	r.counts["resumed"]++
	if len(r.producers[a.ID][a.After]) == 0 {
		r.problemLocked("request %s: resumed after event %d, which no engine has produced", a.ID, a.After)
	}
}

// lookupsOf returns the number of lookups of an organisation that were started.
func (r *record) lookupsOf(organisation string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookups[organisation]
}

// rewardFailed records that a reward call was answered with a failure.
func (r *record) rewardFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewardFailures[id]++
}

// eventProduced records that an engine produced an event of a request with a weight version.
func (r *record) eventProduced(id string, n int, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.producers[id] == nil {
		r.producers[id] = map[int][]uint64{}
	}
	if !slices.Contains(r.producers[id][n], version) {
		r.producers[id][n] = append(r.producers[id][n], version)
	}
}

// unfinished reports whether no engine has completed an item or can have failed it, so that
// its body must still be readable.
func (r *record) unfinished(item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := kindOf(item)
	return kind != itemImpossible && kind != itemAlwaysFails && len(r.producers[item][eventCountOf(item)]) == 0
}

// firstFailure reports whether the request has not failed yet, and marks it as failed.
func (r *record) firstFailure(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.failedOnce[id]
	r.failedOnce[id] = true
	return first
}

// checkRefused checks, at the end of a seed, that no refused request has run.
func (r *record) checkRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.refused {
		if r.runs[id] > 0 {
			r.problemLocked("request %s: refused as not run, and run %d times", id, r.runs[id])
		}
	}
}

func (r *record) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(r.counts)) {
		fmt.Fprintf(&b, " %s %d", k, r.counts[k])
	}
	return b.String()
}
