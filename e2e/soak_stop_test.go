package e2e

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/platform/ingress"
)

// A stop beside long requests.
const (
	soakGrace = 8 * time.Second // between SIGTERM and SIGKILL
	// stopExcuse is how long after SIGTERM a request may come that is cut off if its endpoint is still
	// at work in the last sixth of the grace time.
	stopExcuse = 3 * time.Second
	// stopClients send one long request each, stopInterval apart, from the signal on.
	stopClients  = 30
	stopInterval = 125 * time.Millisecond
	// longLimit is the deadline of a long request; its route allows as much.
	longLimit = 6 * time.Second
)

// longPrefix begins the ids of requests that name how long they run, in milliseconds, as their last
// part.
const longPrefix = "long-"

// longDuration returns how long a request runs whose id names that.
func longDuration(id string) (d time.Duration, ok bool) {
	if !strings.HasPrefix(id, longPrefix) {
		return 0, false
	}
	ms, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
	return time.Duration(ms) * time.Millisecond, err == nil
}

// checkStopBesideLongRequests stops an entry while clients send requests on connections that they
// keep, which run for up to their route's timeout. None may be cut off without an excuse.
func (w *soakWorld) checkStopBesideLongRequests() {
	m := w.entries[0]
	clients := make([]*soakClient, stopClients)
	for i := range clients {
		clients[i] = w.client(fmt.Sprint("stop-", i))
		w.openKept(clients[i], m)
	}
	var calls sync.WaitGroup
	signal := time.Now()
	calls.Go(func() { w.terminate(m) })
	for i, c := range clients {
		calls.Go(func() {
			time.Sleep(time.Until(signal.Add(time.Duration(i) * stopInterval)))
			ms := []int{50, 1500, 3000, 4000, 5500}[c.rng.IntN(5)]
			id := fmt.Sprintf("%s%d-%d", longPrefix, i, ms)
			if i%2 == 0 {
				c.sendLong(m, id, prefixSay+id, serviceEngines, signal)
			} else {
				c.sendLong(m, id, prefixErrand+id, serviceDesk, signal)
			}
		})
	}
	calls.Wait()
	w.record.checkRefused()
}

// openKept makes a request with which a client opens the connection that it keeps.
func (w *soakWorld) openKept(c *soakClient, m *soakInstance) {
	id := c.name + "-first"
	eventually(w.t, c.name+" is served", func() error {
		c.next++
		attempt := fmt.Sprintf("%s-%d", id, c.next)
		if !c.forward(w.t.Context(), m.clientAddr, attempt, http.MethodGet, prefixLook+attempt, false) {
			return fmt.Errorf("%s not served", attempt)
		}
		return nil
	})
}

// sendLong sends a request that may run once to an entry that stops, and judges its end.
func (c *soakClient) sendLong(m *soakInstance, id, target, service string, signal time.Time) {
	model := ""
	if service == serviceEngines {
		model = soakModels[0]
	}
	c.w.record.requestSent(id, &request{
		method: http.MethodPost, target: target, body: bodyOf(id), model: model, services: []string{service}, runsOnce: true, organisation: c.organisation,
	})
	sent := time.Now()
	status, _ := c.callLong(c.w.t.Context(), ingress.Attempt{
		Entry: m.clientAddr, ID: id, Method: http.MethodPost, Target: target, Body: bodyOf(id), Model: model, Deadline: longLimit,
	})
	ended := time.Now()
	c.w.record.count("long requests")
	switch {
	case status == http.StatusServiceUnavailable:
		c.w.record.requestsRefused(id)
		c.w.record.count("long requests refused")
	case status != 0 || !c.w.record.ran(id):
	case ended.Sub(sent) >= longLimit-100*time.Millisecond:
	case sent.Sub(signal) <= stopExcuse && ended.Sub(signal) >= soakGrace*5/6:
	default:
		c.w.record.problem("request %s, sent %s after SIGTERM, was cut off after %s", id, sent.Sub(signal), ended.Sub(sent))
	}
}

// callLong is call for requests that take longer than soakAttemptTimeout.
func (c *soakClient) callLong(ctx context.Context, a ingress.Attempt) (status int, body []byte) {
	return c.callWithin(ctx, cmp.Or(a.Deadline, soakAttemptTimeout)+time.Second, a)
}
