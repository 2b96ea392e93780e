package e2e

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/platform/ingress"
)

const (
	// soakSettle is after how long each entry must know an accepted job.
	soakSettle = time.Second
	// soakWait is how long a reader lets an entry wait for a result.
	soakWait = 500 * time.Millisecond
)

// page reads results of a job from a position on at an entry, checks them, and
// says where to go on.
func (c *soakClient) page(ctx context.Context, entry string, j *soakJob, from int) (status, next int) {
	asked := time.Now()
	status, body := c.call(ctx, ingress.Attempt{
		Entry: entry, ID: j.id, Method: http.MethodGet, Target: ingress.ResultsTarget(j.id, from), Wait: soakWait,
		Key: keptKey(j.organisation), ClaimedOrganisation: otherThan(j.organisation),
	})
	switch status {
	case http.StatusOK:
		return status, c.checkPage(entry, j, from, body)
	case http.StatusNotFound, http.StatusGone:
		if accepted, _ := c.w.record.state(j); !accepted.IsZero() && asked.Sub(accepted) > soakSettle {
			c.w.record.problem("job %s at %s: %d, %s after its 202", j.id, entry, status, asked.Sub(accepted))
		}
	}
	return status, from
}

func (c *soakClient) checkPage(entry string, j *soakJob, from int, body []byte) (next int) {
	p, next, err := ingress.DecodePage(body)
	if err != nil {
		c.w.record.problem("job %s at %s: %v in %q", j.id, entry, err, body)
		return from
	}
	if next != from+len(p.Results) {
		c.w.record.problem("job %s at %s: goes on at %d after %d results from %d", j.id, entry, next, len(p.Results), from)
	}
	c.w.record.read(j, entry, from, p.Total, p.Results)
	return next
}

// reread reads old results and bodies until ctx ends.
func (c *soakClient) reread(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 3*soakPause)
		jobs := c.w.record.acceptedJobs()
		if len(jobs) == 0 {
			continue
		}
		j := jobs[c.rng.IntN(len(jobs))]
		c.page(ctx, c.entry(), j, c.rng.IntN(c.w.record.position(j)+1))
		c.itemBody(ctx, j, j.items[c.rng.IntN(len(j.items))])
		c.pry(ctx, j)
	}
}

// itemBody asks for the body of an item. It is owed until the item is listed or
// its job has ended.
func (c *soakClient) itemBody(ctx context.Context, j *soakJob, item string) {
	entry, asked := c.entry(), time.Now()
	owed := c.w.record.unfinished(item)
	status, body := c.call(ctx, ingress.Attempt{Entry: entry, ID: j.id, Method: http.MethodGet, Target: ingress.BodyTarget(j.id, item), Key: keptKey(j.organisation)})
	accepted, ended := c.w.record.state(j)
	switch {
	case status == http.StatusOK && string(body) != bodyOf(item):
		c.w.record.problem("job %s at %s: the body of %s is %q", j.id, entry, item, body)
	case status == http.StatusNotFound && owed && c.w.record.unfinished(item) && !ended && asked.Sub(accepted) > soakSettle:
		c.w.record.problem("job %s at %s: no body of %s, which no engine has finished", j.id, entry, item)
	}
}

// readAll reads a job from the start to what is owed: all of it, or what was
// read before if it was ended.
func (c *soakClient) readAll(ctx context.Context, entry string, j *soakJob) error {
	owed := len(j.items)
	if _, ended := c.w.record.state(j); ended {
		owed = c.w.record.position(j)
	}
	for at := 0; at < owed; {
		status, next := c.page(ctx, entry, j, at)
		if status != http.StatusOK || next == at {
			return fmt.Errorf("%d of %d results, status %d", at, owed, status)
		}
		at = next
	}
	return nil
}
