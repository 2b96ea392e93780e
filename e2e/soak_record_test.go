package e2e

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/platform/enginehttp"
)

// request is what a client sent, or the item of a batch job.
type request struct {
	method, target, body, model string
	services                    []string // that may run it
	once                        bool     // may run once only
	organisation                string   // that it runs under
}

// sameResult says whether two results are one.
func sameResult(a, b *batch.Result) bool {
	return a.ID == b.ID && a.State == b.State && a.Output == b.Output && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

// soakJob is a batch job and what was read of it.
type soakJob struct {
	id           string
	organisation string
	minVersion   uint64
	items        []string
	accepted     time.Time // zero until its 202 came
	ended        bool      // its end was sent
	listed       []batch.Result
}

// record is what callers and engines saw, and which promises broke.
type record struct {
	mu       sync.Mutex
	sent     map[string]*request
	runs     map[string]int
	lookups  map[string]int              // begun, by organisation
	made     map[string]map[int][]uint64 // by item and event: the versions that made it
	failed   map[string]bool
	rewards  map[string]int  // failures of reward calls, by their ids
	refused  map[string]bool // promised not to run
	crashes  map[string]int  // endpoints that ended under a target
	versions map[string]uint64
	orders   map[string]orderer
	jobs     []*soakJob
	problems []string
	counts   map[string]int
}

// orderer is who ordered an engine last.
type orderer struct {
	holder string
	token  uint64
}

func newRecord() *record {
	return &record{
		sent: map[string]*request{}, runs: map[string]int{}, lookups: map[string]int{}, made: map[string]map[int][]uint64{}, failed: map[string]bool{}, rewards: map[string]int{},
		refused: map[string]bool{}, crashes: map[string]int{}, versions: map[string]uint64{}, orders: map[string]orderer{}, counts: map[string]int{},
	}
}

// broke notes a broken promise. It is called with r.mu held.
func (r *record) broke(format string, args ...any) {
	r.problems = append(r.problems, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *record) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broke(format, args...)
}

func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// send notes a request before it is sent.
func (r *record) send(id string, q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = q
}

// refuse notes a promise that a request did not run and never will.
func (r *record) refuse(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		r.refused[id] = true
	}
}

// named is the newest named version of a model; name names the next.
func (r *record) named(model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.versions[model])
}

func (r *record) name(model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[model] = version
}

// ordered checks who orders an engine.
func (r *record) ordered(engine, holder string, token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.orders[engine]
	if token < last.token || (token == last.token && holder != last.holder) {
		r.broke("engine %s: order of %s with token %d after one of %s with token %d", engine, holder, token, last.holder, last.token)
	}
	r.orders[engine] = orderer{holder, token}
	r.counts["orders"]++
}

// began checks a run that begins at an engine of a service.
func (r *record) began(service string, a enginehttp.ReceivedRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[a.ID]++
	if strings.HasPrefix(a.Target, prefixLook) {
		r.lookups[a.Organisation]++
	}
	q := r.sent[a.ID]
	switch {
	case q == nil:
		r.broke("request %q: run by %s, and nobody sent it", a.ID, service)
		return
	case q.organisation != a.Organisation || a.Key != "":
		r.broke("request %s: sent under %q, run under %q with the key %q", a.ID, q.organisation, a.Organisation, a.Key)
	case q.method != a.Method || q.target != a.Target || q.body != a.Body || q.model != a.Model:
		r.broke("request %s: sent as %+v, run as %+v", a.ID, *q, a)
	case !slices.Contains(q.services, service):
		r.broke("request %s: run by service %s, allowed are %v", a.ID, service, q.services)
	case q.once && r.runs[a.ID] > 1:
		r.broke("request %s: run %d times", a.ID, r.runs[a.ID])
	case r.refused[a.ID]:
		r.broke("request %s: run after it was refused", a.ID)
	}
	if item, isReward := strings.CutPrefix(a.ID, rewardPrefix); isReward {
		r.counts["reward calls"]++
		if len(r.made[item][eventsOf(item)]) == 0 {
			r.broke("reward call %s: run before the last event of its text was made", a.ID)
		}
	}
	if a.After == 0 {
		return
	}
	r.counts["resumed"]++
	if len(r.made[a.ID][a.After]) == 0 {
		r.broke("request %s: resumed after event %d, which no engine has made", a.ID, a.After)
	}
}

// runsOf is how many lookups of an organisation began.
func (r *record) runsOf(organisation string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookups[organisation]
}

// rewardFails notes that a reward call was answered with a failure.
func (r *record) rewardFails(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rewards[id]++
}

// madeEvent notes that an engine made an event of a request.
func (r *record) madeEvent(id string, n int, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.made[id] == nil {
		r.made[id] = map[int][]uint64{}
	}
	if !slices.Contains(r.made[id][n], version) {
		r.made[id][n] = append(r.made[id][n], version)
	}
}

// unfinished says that no engine has finished an item or can have failed it, so
// that its body is owed.
func (r *record) unfinished(item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := kindOf(item)
	return kind != itemImpossible && kind != itemFailing && len(r.made[item][eventsOf(item)]) == 0
}

// failOnce says whether an item has still to fail.
func (r *record) failOnce(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.failed[id]
	r.failed[id] = true
	return first
}

// read checks a page of results of a job against what was read before.
func (r *record) read(j *soakJob, entry string, after, total int, page []batch.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if total != len(j.items) {
		r.broke("job %s at %s: Total is %d of %d items", j.id, entry, total, len(j.items))
	}
	for i := range page {
		position, result := after+i, &page[i]
		switch {
		case position < len(j.listed):
			if !sameResult(result, &j.listed[position]) {
				r.broke("job %s at %s: position %d was %+v and is %+v", j.id, entry, position, j.listed[position], *result)
			}
		case position == len(j.listed):
			r.check(j, position, result)
			j.listed = append(j.listed, *result)
		}
	}
}

// check checks a result that is read for the first time. r.mu is held.
func (r *record) check(j *soakJob, position int, result *batch.Result) {
	at := fmt.Sprintf("job %s, position %d, item %s", j.id, position, result.ID)
	if !slices.Contains(j.items, result.ID) {
		r.broke("%s: of another job", at)
	}
	if slices.ContainsFunc(j.listed, func(o batch.Result) bool { return o.ID == result.ID }) {
		r.broke("%s: listed at two positions", at)
	}
	r.counts["results"]++
	kind := kindOf(result.ID)
	switch result.State {
	case batch.StateFailed:
		r.counts["given up"]++
		if kind != itemImpossible && kind != itemFailing && r.rewards[rewardOf(result.ID)] < soakRewardAttempts && !j.ended {
			r.broke("%s: given up without a reason", at)
		}
	case batch.StateDone:
		if result.Output != textOf(result.ID) {
			r.broke("%s: text is %q, want %q", at, result.Output, textOf(result.ID))
		}
		switch {
		case !hasReward(result.ID) && result.Score != "":
			r.broke("%s: score %q of no call", at, result.Score)
		case hasReward(result.ID) && (!isStamp(result.Score, rewardOf(result.ID)) || r.runs[rewardOf(result.ID)] == 0):
			r.broke("%s: score %q is no signature of its reward call", at, result.Score)
		}
		r.checkVersions(j, at, result)
	default:
		r.broke("%s: state %q", at, result.State)
	}
}

// checkVersions checks that a text can have been made by the versions that it
// names, all of them. r.mu is held.
func (r *record) checkVersions(j *soakJob, at string, result *batch.Result) {
	used := map[uint64]bool{}
	for n := 1; n <= eventsOf(result.ID); n++ {
		explained := false
		for _, v := range r.made[result.ID][n] {
			if slices.Contains(result.Versions, v) {
				used[v], explained = true, true
			}
		}
		if !explained {
			r.broke("%s: versions %v, and event %d was made by %v", at, result.Versions, n, r.made[result.ID][n])
		}
	}
	for _, v := range result.Versions {
		if v < j.minVersion || !used[v] {
			r.broke("%s: versions %v, of which %d is older than %d or made nothing", at, result.Versions, v, j.minVersion)
		}
	}
}

// accept notes the 202 of a job, end that its end was sent.
func (r *record) accept(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.accepted = time.Now()
	r.counts["jobs"]++
}

func (r *record) end(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.ended = true
}

func (r *record) addJob(j *soakJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, j)
}

// acceptedJobs are the jobs that are owed.
func (r *record) acceptedJobs() []*soakJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*soakJob
	for _, j := range r.jobs {
		if !j.accepted.IsZero() {
			list = append(list, j)
		}
	}
	return list
}

// position is how many results of a job were read.
func (r *record) position(j *soakJob) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(j.listed)
}

// state says when a job was accepted and whether its end was sent.
func (r *record) state(j *soakJob) (accepted time.Time, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return j.accepted, j.ended
}

// isListed says whether an item's result was read.
func (r *record) isListed(j *soakJob, item string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(j.listed, func(o batch.Result) bool { return o.ID == item })
}

// checkRefused checks at the end that what was refused has not run.
func (r *record) checkRefused() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.refused {
		if r.runs[id] > 0 {
			r.broke("request %s: refused as not run, and run %d times", id, r.runs[id])
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
