package e2e

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/platform/operator"
)

// Sizes and times of the trainers' work.
const (
	soakGroups     = 6 // of a batch job
	soakWanted     = 5 // groups that the trainer waits for
	soakGroupItems = 4
	// soakStepTime is how long a trainer waits for a step, soakSubmitTime for
	// its acceptance.
	soakStepTime   = 15 * time.Second
	soakSubmitTime = 10 * time.Second
)

// soakTrainer takes steps with one model until ctx ends.
type soakTrainer struct {
	*soakClient
	model string
	// again holds the items, by group, that were not complete in the last step.
	again [][]string
}

func (t *soakTrainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		version := uint64(step + 1)
		if step > 0 {
			t.w.record.name(t.model, version)
			row, err := operator.NamedVersionRow(t.model, version)
			t.w.write(ctx, row, err)
		}
		t.step(ctx, step, max(1, version-1))
	}
}

// step submits a job, reads it, and ends it.
func (t *soakTrainer) step(ctx context.Context, step int, minVersion uint64) {
	j := &soakJob{id: fmt.Sprintf("job-%s-%d", t.model, step), organisation: t.organisation, minVersion: minVersion}
	groups := t.again
	for g := len(groups); g < soakGroups; g++ {
		var items []string
		for i := range soakGroupItems {
			items = append(items, fmt.Sprintf("item-%s-%d-%d-%d", t.model, step, g, i))
		}
		groups = append(groups, items)
	}
	fresh := groups[len(t.again):]
	t.again = nil
	body := t.body(j, step, groups)
	t.w.record.addJob(j)
	if !t.submit(ctx, j, body, fresh) {
		return
	}
	t.read(ctx, j, groups)
	t.end(j)
	for _, group := range groups {
		if !t.complete(j, group) && len(t.again) < soakWanted/2 {
			t.again = append(t.again, group)
		}
	}
}

// body encodes a job and registers its items.
func (t *soakTrainer) body(j *soakJob, step int, groups [][]string) string {
	s := &batch.Submission{Model: t.model, Step: step, MinVersion: j.minVersion, WantedGroups: soakWanted}
	for _, group := range groups {
		for _, id := range group {
			j.items = append(j.items, id)
			item := batch.Item{
				ID: id, Path: "/" + t.model + "/" + id, Body: []byte(bodyOf(id)), Tokens: 100, Group: group[0], ExpectedTokens: eventsOf(id),
			}
			if hasReward(id) {
				item.Reward = &batch.RewardCall{ID: rewardOf(id), Host: soakHost, Path: prefixScore + id, Body: []byte(bodyOf(rewardOf(id)))}
				t.w.record.send(rewardOf(id), &request{
					method: http.MethodPost, target: prefixScore + id, body: bodyOf(rewardOf(id)), services: []string{serviceDesk},
				})
			}
			s.Items = append(s.Items, item)
			t.w.record.send(id, &request{
				method: http.MethodPost, target: item.Path, body: bodyOf(id), model: t.model, services: []string{serviceEngines},
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

// submit repeats until the job is accepted, and says whether it was.
func (t *soakTrainer) submit(ctx context.Context, j *soakJob, body string, fresh [][]string) bool {
	began, refusedOnly := time.Now(), true
	for time.Since(began) < soakSubmitTime && ctx.Err() == nil {
		status, _ := t.call(ctx, ingress.Attempt{
			Entry: t.entry(), ID: j.id, Method: http.MethodPost, Target: "/" + t.model + "/" + j.id, Body: body,
		})
		switch status {
		case http.StatusAccepted:
			t.w.record.accept(j)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case http.StatusBadRequest, http.StatusNotFound:
			t.w.record.problem("job %s: submission answered %d", j.id, status)
			return false
		default:
			refusedOnly = false
		}
		sleep(ctx, 10*soakPause)
	}
	if refusedOnly && ctx.Err() == nil {
		for _, group := range fresh {
			t.w.record.refuse(group...)
			for _, id := range group {
				t.w.record.refuse(rewardOf(id))
			}
		}
	}
	return false
}

// read reads a job until enough groups are complete or the step's time is up.
func (t *soakTrainer) read(ctx context.Context, j *soakJob, groups [][]string) {
	ctx, cancel := context.WithTimeout(ctx, soakStepTime)
	defer cancel()
	for ctx.Err() == nil {
		t.page(ctx, t.entry(), j, t.w.record.position(j))
		complete := 0
		for _, group := range groups {
			if t.complete(j, group) {
				complete++
			}
		}
		if complete >= soakWanted {
			t.w.record.count("steps")
			return
		}
		sleep(ctx, soakPause)
	}
}

func (t *soakTrainer) complete(j *soakJob, group []string) bool {
	for _, id := range group {
		if !t.w.record.isListed(j, id) {
			return false
		}
	}
	return true
}

// end ends a job; the end counts from when it is first sent.
func (t *soakTrainer) end(j *soakJob) {
	t.w.record.end(j)
	began := time.Now()
	for time.Since(began) < soakSubmitTime {
		status, _ := t.call(context.Background(), ingress.Attempt{
			Entry: t.entry(), ID: j.id, Method: http.MethodDelete, Target: ingress.DeleteTarget(j.id),
		})
		switch status {
		case http.StatusOK:
			return
		case http.StatusNotFound:
			t.w.record.problem("job %s: its end was answered 404", j.id)
			return
		}
		time.Sleep(10 * soakPause)
	}
}
