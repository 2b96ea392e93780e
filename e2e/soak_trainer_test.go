package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/platform/operator"
)

// Sizes and timeouts of the trainers' steps.
const (
	soakGroups       = 6 // of a batch job
	soakWantedGroups = 5 // groups that the trainer waits for
	soakGroupItems   = 4
	// soakStepTimeout is how long a trainer waits for a step's results, soakSubmitTimeout
	// how long for the job to be accepted.
	soakStepTimeout   = 15 * time.Second
	soakSubmitTimeout = 10 * time.Second
	// soakObjectTime is how long the store takes to write an object.
	soakObjectTime = 25 * time.Millisecond
)

// soakTrainer runs training steps with one model until ctx is cancelled.
type soakTrainer struct {
	*soakClient
	model string
	// carriedOver holds the groups that the last step left incomplete.
	carriedOver [][]string
}

func (t *soakTrainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		version := uint64(step + 1)
		if step > 0 {
			t.w.record.setNamedVersion(t.model, version)
			row, err := operator.NamedVersionRow(t.model, version)
			t.w.write(ctx, row, err)
		}
		t.step(ctx, step, max(1, version-1))
	}
}

// step submits a job, reads its results, and ends it.
func (t *soakTrainer) step(ctx context.Context, step int, minVersion uint64) {
	j := &soakJob{id: fmt.Sprintf("job-%s-%d", t.model, step), organisation: t.organisation, minVersion: minVersion}
	groups := t.carriedOver
	for g := len(groups); g < soakGroups; g++ {
		var items []string
		for i := range soakGroupItems {
			items = append(items, fmt.Sprintf("%s%s-%d-%d-%d", t.itemPrefix(step), t.model, step, g, i))
		}
		groups = append(groups, items)
	}
	newGroups := groups[len(t.carriedOver):]
	t.carriedOver = nil
	body := t.encodeJob(j, step, groups)
	t.w.record.addJob(j)
	if !t.submit(ctx, j, body, newGroups) {
		return
	}
	t.readResults(ctx, j, groups)
	t.checkReadable(j)
	t.endJob(j)
	for _, group := range groups {
		if !t.complete(j, group) && len(t.carriedOver) < soakWantedGroups/2 {
			t.carriedOver = append(t.carriedOver, group)
		}
	}
}

// itemPrefix returns the prefix of the ids of a step's items.
func (t *soakTrainer) itemPrefix(step int) string {
	if t.w.largeJobs && step%2 == 1 {
		return largeItemPrefix
	}
	return "item-"
}

// encodeJob encodes a job, and records its items and reward calls as sent.
func (t *soakTrainer) encodeJob(j *soakJob, step int, groups [][]string) string {
	s := &batch.Submission{Model: t.model, Step: step, MinVersion: j.minVersion, WantedGroups: soakWantedGroups}
	for _, group := range groups {
		for _, id := range group {
			j.items = append(j.items, id)
			item := batch.Item{
				ID: id, Path: "/" + t.model + "/" + id, Body: []byte(bodyOf(id)), Tokens: 100, Group: group[0], ExpectedTokens: eventCountOf(id),
			}
			if hasRewardCall(id) {
				item.Reward = &batch.RewardCall{ID: rewardIDOf(id), Host: soakHost, Path: prefixScore + id, Body: []byte(bodyOf(rewardIDOf(id)))}
				t.w.record.requestSent(rewardIDOf(id), &request{
					method: http.MethodPost, target: prefixScore + id, body: bodyOf(rewardIDOf(id)), services: []string{serviceDesk},
				})
			}
			s.Items = append(s.Items, item)
			t.w.record.requestSent(id, &request{
				method: http.MethodPost, target: item.Path, body: bodyOf(id), model: t.model, services: t.w.modelServices(),
				organisation: t.organisation,
			})
		}
	}
	text, err := ingress.EncodeJob(s)
	if err != nil {
		panic(err) // never for what the soak submits
	}
	return string(text)
}

// submit retries until the job is accepted, and reports whether it was. If all answers were
// refusals, it records that the new items must not run.
func (t *soakTrainer) submit(ctx context.Context, j *soakJob, body string, newGroups [][]string) bool {
	started, refusedOnly := time.Now(), true
	if strings.HasPrefix(j.items[0], largeItemPrefix) {
		refusedOnly = t.submitBriefly(ctx, j, body)
	}
	for time.Since(started) < soakSubmitTimeout && ctx.Err() == nil {
		status, _ := t.call(ctx, ingress.Attempt{
			Entry: t.entry(), ID: j.id, Method: http.MethodPost, Target: "/" + t.model + "/" + j.id, Body: body,
		})
		switch status {
		case http.StatusAccepted:
			t.w.record.jobAccepted(j)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case http.StatusBadRequest, http.StatusNotFound:
			t.w.record.problem("job %s: submission answered %d", j.id, status)
			return false
		default:
			refusedOnly = false
		}
		sleep(ctx, 10*soakCallInterval)
	}
	if refusedOnly && ctx.Err() == nil {
		for _, group := range newGroups {
			t.w.record.requestsRefused(group...)
			for _, id := range group {
				t.w.record.requestsRefused(rewardIDOf(id))
			}
		}
	}
	return false
}

// submitBriefly submits a job at each entry and hangs up after some milliseconds, while the entry
// stores the items. It reports whether all answers, if there were any, were refusals.
func (t *soakTrainer) submitBriefly(ctx context.Context, j *soakJob, body string) (refusedOnly bool) {
	refusedOnly = true
	for _, e := range t.w.entries {
		patience := time.Duration(20+t.rng.IntN(100)) * time.Millisecond
		status, _ := t.callWithin(ctx, patience, ingress.Attempt{
			Entry: e.clientAddr, ID: j.id, Method: http.MethodPost, Target: "/" + t.model + "/" + j.id, Body: body,
		})
		refusedOnly = refusedOnly && status == http.StatusServiceUnavailable
	}
	return refusedOnly
}

// readResults reads a job's results until enough groups are complete or soakStepTimeout has
// passed.
func (t *soakTrainer) readResults(ctx context.Context, j *soakJob, groups [][]string) {
	ctx, cancel := context.WithTimeout(ctx, soakStepTimeout)
	defer cancel()
	for ctx.Err() == nil {
		t.readPage(ctx, t.entry(), j, t.w.record.resultsRead(j))
		complete := 0
		for _, group := range groups {
			if t.complete(j, group) {
				complete++
			}
		}
		if complete >= soakWantedGroups {
			t.w.record.count("steps")
			return
		}
		sleep(ctx, soakCallInterval)
	}
}

// checkReadable checks that the items of an accepted job can be read: one has a result by now, or
// gives its body.
func (t *soakTrainer) checkReadable(j *soakJob) {
	for started := time.Now(); time.Since(started) < soakSubmitTimeout; time.Sleep(10 * soakCallInterval) {
		if t.w.record.resultsRead(j) > 0 {
			return
		}
		status, _ := t.call(t.w.t.Context(), ingress.Attempt{Entry: t.entry(), ID: j.id, Method: http.MethodGet, Target: ingress.BodyTarget(j.id, j.items[0])})
		if status == http.StatusOK {
			return
		}
	}
	t.w.record.problem("job %s was accepted and its items can't be read", j.id)
}

func (t *soakTrainer) complete(j *soakJob, group []string) bool {
	for _, id := range group {
		if !t.w.record.hasResult(j, id) {
			return false
		}
	}
	return true
}

// endJob ends a job, with retries. The job counts as ended from the first attempt on.
func (t *soakTrainer) endJob(j *soakJob) {
	t.w.record.jobEnded(j)
	started := time.Now()
	for time.Since(started) < soakSubmitTimeout {
		status, _ := t.call(context.Background(), ingress.Attempt{
			Entry: t.entry(), ID: j.id, Method: http.MethodDelete, Target: ingress.DeleteTarget(j.id),
		})
		switch status {
		case http.StatusOK:
			return
		case http.StatusNotFound:
			t.w.record.problem("job %s: DELETE was answered 404", j.id)
			return
		}
		time.Sleep(10 * soakCallInterval)
	}
}
