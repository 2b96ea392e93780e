package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"mulberryscale.example/platform/enginehttp"
	"mulberryscale.example/platform/ingress"
)

// Guards against requests whose content crashes endpoints. On one day, lookups of the
// listings service were refused for three seconds at a time, repeatedly: each time all
// three of its endpoints had crashed within a quarter of a second on requests with the same
// content, which came back seconds later with new ids at other entries. Nine to fourteen
// endpoints crashed per content.
//
// The cause: an entry kept a request's endpoint failures only as long as the request. A
// retry, the caller's next attempt, another entry and the next repeat each started without
// them, so the content reached every endpoint. In this test's logs, all sends that were
// aborted and whose endpoint refused connections afterwards had the same content. With
// crashes remembered by content, two endpoints crash instead of twelve.
//
// Here one content crashes each endpoint that starts to run it; the endpoint is back after
// a second with a new id. A caller sends the content repeatedly to all entries in turn,
// while other clients send lookups.

const (
	// prefixCrash is the prefix of the targets that crash endpoints.
	prefixCrash = prefixPeek + "crash-"
	// soakKiosks is the number of endpoints of the service that runs such requests.
	soakKiosks = 3
	// kioskDowntime is the time from an endpoint's crash to its restart.
	kioskDowntime = time.Second
	// allowedCrashes is how many endpoints a content may crash before it is known as
	// crashing, and allowedRetries how many it may reach afterwards in a whole day.
	allowedCrashes = 3
	allowedRetries = 3
	// crashPropagationTime is how long after its last crash a content is known to all entries.
	crashPropagationTime = 3 * time.Second
	// crashRepeats is how often the content is sent again once it is known.
	crashRepeats  = 12
	crashInterval = 150 * time.Millisecond
)

// TestRequestThatCrashesEndpointsIsKeptAway sends crashing requests without any other fault.
func TestRequestThatCrashesEndpointsIsKeptAway(t *testing.T) {
	w := startSoak(t, 1)
	w.checkCrashingRequest("calm")
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Log(w.record.summary())
}

// checkCrashingRequest sends a content that crashes endpoints until it is known, and then
// checks that entries no longer forward it while other requests are served.
func (w *soakWorld) checkCrashingRequest(name string) {
	target := prefixCrash + name
	c, watcher := w.client("crasher-"+name), w.client("watcher-"+name)
	for range allowedCrashes {
		for _, e := range w.entries {
			c.sendCrashing(w.t.Context(), e.clientAddr, target)
			sleep(w.t.Context(), crashInterval)
		}
		w.awaitKiosks(watcher)
	}
	sleep(w.t.Context(), crashPropagationTime)
	known := w.record.crashesBy(target)
	ctx, cancel := context.WithCancel(w.t.Context())
	var others sync.WaitGroup
	others.Go(func() { w.client("beside-" + name).sendDuringCrashes(ctx) })
	for i := range crashRepeats {
		c.sendCrashing(ctx, w.entries[i%len(w.entries)].clientAddr, target)
		sleep(ctx, crashInterval)
	}
	cancel()
	others.Wait()
	if after := w.record.crashesBy(target) - known; after > allowedRetries {
		w.record.problem("%s: reached endpoints %d times after it was known; %d crashed before", target, after, known)
	}
}

// sendCrashingRequests sends one of three contents that crash endpoints, repeatedly as a
// caller without an answer does.
func (w *soakWorld) sendCrashingRequests(rng *rand.Rand) {
	name := fmt.Sprint("fault-", rng.IntN(3))
	c := w.client("crasher-" + name + fmt.Sprint("-", rng.Uint32()))
	for range 2 + rng.IntN(4) {
		c.sendCrashing(w.t.Context(), w.entries[rng.IntN(len(w.entries))].clientAddr, prefixCrash+name)
		sleepBetween(rng, 50, 600)
	}
}

// awaitKiosks waits until each entry serves other requests of the service again.
func (w *soakWorld) awaitKiosks(c *soakClient) {
	for _, e := range w.entries {
		eventually(w.t, e.name+" serves beside crashes", func() error {
			c.next++
			id := fmt.Sprintf("%s-%d", c.name, c.next)
			if !c.forward(w.t.Context(), e.clientAddr, id, http.MethodGet, prefixPeek+id, false) {
				return fmt.Errorf("%s not served", id)
			}
			return nil
		})
	}
}

// sendCrashing sends a content that crashes endpoints, with a new id.
func (c *soakClient) sendCrashing(ctx context.Context, entry, target string) {
	c.next++
	id := fmt.Sprintf("%s-%d", c.name, c.next)
	c.w.record.requestSent(id, &request{method: http.MethodGet, target: target, services: []string{serviceKiosk}, organisation: c.organisation})
	status, _ := c.call(ctx, ingress.Attempt{Entry: entry, ID: id, Method: http.MethodGet, Target: target})
	switch status {
	case http.StatusServiceUnavailable:
		c.w.record.requestsRefused(id)
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		c.w.record.problem("request %s at %s, which crashes endpoints: %d", id, entry, status)
	}
}

// sendDuringCrashes sends requests while another client crashes endpoints, until ctx is
// cancelled. Each must be served at the first or the second attempt.
func (c *soakClient) sendDuringCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		served := false
		for attempt := 0; attempt < 2 && !served; attempt++ {
			c.next++
			id := fmt.Sprintf("%s-%d", c.name, c.next)
			served = c.forward(context.WithoutCancel(ctx), c.entry(), id, http.MethodGet, prefixPeek+id, false)
		}
		if !served {
			c.w.record.problem("%s: not served beside a request that crashes endpoints", c.name)
		}
		sleep(ctx, soakCallInterval)
	}
}

// crashOn crashes the engine that runs a request, and starts it again after kioskDowntime
// with a new id.
func (e *soakEngine) crashOn(a enginehttp.ReceivedRequest) {
	if !e.faultLock.TryLock() {
		return // it is crashing already
	}
	e.record.endpointCrashed(a.Target)
	e.crash()
	go func() {
		defer e.faultLock.Unlock()
		time.Sleep(kioskDowntime)
		if err := e.start(false); err != nil {
			e.record.problem("engine at %s: %v", e.listen, err)
		}
	}()
}

// endpointCrashed records that a request to a target crashed an endpoint.
func (r *record) endpointCrashed(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashesByTarget[target]++
	r.counts["endpoints crashed by requests"]++
}

func (r *record) crashesBy(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashesByTarget[target]
}
