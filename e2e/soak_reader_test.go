package e2e

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"mulberryscale.example/platform/ingress"
)

const (
	// soakPropagationTime is how long after its 202 a job must be known to every entry.
	soakPropagationTime = time.Second
	// soakResultWait is how long an entry may hold a read that has no new results.
	soakResultWait = 500 * time.Millisecond
)

// readPage reads a page of a job's results from a position on at an entry and checks it. It
// returns the status and the position of the next page.
func (c *soakClient) readPage(ctx context.Context, entry string, j *soakJob, from int) (status, next int) {
	asked := time.Now()
	status, body := c.call(ctx, ingress.Attempt{
		Entry: entry, ID: j.id, Method: http.MethodGet, Target: ingress.ResultsTarget(j.id, from), Wait: soakResultWait,
		Key: permanentKey(j.organisation), ClaimedOrganisation: otherOrganisation(j.organisation),
	})
	switch status {
	case http.StatusOK:
		return status, c.checkPage(entry, j, from, body)
	case http.StatusNotFound, http.StatusGone:
		if accepted, _ := c.w.record.state(j); !accepted.IsZero() && asked.Sub(accepted) > soakPropagationTime {
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
		c.w.record.problem("job %s at %s: next is %d after %d results from %d", j.id, entry, next, len(p.Results), from)
	}
	c.w.record.checkPage(j, entry, from, p.Total, p.Results)
	return next
}

// reread reads earlier results and bodies again until ctx is cancelled.
func (c *soakClient) reread(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 3*soakCallInterval)
		jobs := c.w.record.acceptedJobs()
		if len(jobs) == 0 {
			continue
		}
		j := jobs[c.rng.IntN(len(jobs))]
		c.readPage(ctx, c.entry(), j, c.rng.IntN(c.w.record.resultsRead(j)+1))
		c.checkItemBody(ctx, j, j.items[c.rng.IntN(len(j.items))])
		c.readWithForeignKey(ctx, j)
	}
}

// checkItemBody reads the body of an item. An entry must have it until the item has a result
// or the client has ended the job.
func (c *soakClient) checkItemBody(ctx context.Context, j *soakJob, item string) {
	entry, asked := c.entry(), time.Now()
	expected := c.w.record.unfinished(item)
	status, body := c.call(ctx, ingress.Attempt{Entry: entry, ID: j.id, Method: http.MethodGet, Target: ingress.BodyTarget(j.id, item), Key: permanentKey(j.organisation)})
	accepted, ended := c.w.record.state(j)
	switch {
	case status == http.StatusOK && string(body) != bodyOf(item):
		c.w.record.problem("job %s at %s: the body of %s is %q", j.id, entry, item, body)
	case status == http.StatusNotFound && expected && c.w.record.unfinished(item) && !ended && asked.Sub(accepted) > soakPropagationTime:
		c.w.record.problem("job %s at %s: no body of %s, which no engine has finished", j.id, entry, item)
	}
}

// readAll reads a job's results from the start. It expects a result for every item, or those
// that were read before if the client has ended the job.
func (c *soakClient) readAll(ctx context.Context, entry string, j *soakJob) error {
	expected := len(j.items)
	if _, ended := c.w.record.state(j); ended {
		expected = c.w.record.resultsRead(j)
	}
	for position := 0; position < expected; {
		status, next := c.readPage(ctx, entry, j, position)
		if status != http.StatusOK || next == position {
			return fmt.Errorf("%d of %d results, status %d", position, expected, status)
		}
		position = next
	}
	return nil
}
