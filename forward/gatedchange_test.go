package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/quarantine"
)

// TestNewEndpointServesWaitingRequests guards against requests that wait while an endpoint which
// was listed after their arrival has room, until an answer or a new request comes.
func TestNewEndpointServesWaitingRequests(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		waiting := r.fill()
		r.list("e1", 1)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if n := r.waiting(); n != 0 {
			t.Errorf("%d requests wait beside an idle endpoint", n)
		}
		r.answerAll(whole)
		if got := <-waiting; got.err != nil {
			t.Fatal(got.err)
		}
	})
}

// TestRiskyRequestsDoNotDelayOthers guards against requests of an organisation that wait, beside room,
// behind a risky request that waits for an endpoint without another one.
func TestRiskyRequestsDoNotDelayOthers(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		e0 := r.View.Snapshot().OfService("s")[0]
		r.picker.Begin(e0.Incarnation(), true, time.Now())
		risky := r.request("risky", fleet.KindUnsafe)
		risky.Body = []byte("crashes")
		r.Quarantine.ReportCrash(quarantine.BrokenRun{Fingerprint: risky.fingerprint(), Endpoint: fleet.Incarnation{ID: "gone"}, Took: time.Millisecond})
		r.start(r.ctx, risky)
		if r.waiting() != 1 {
			t.Fatalf("%d wait", r.waiting())
		}
		done := r.start(r.ctx, r.request("other", fleet.KindUnsafe))
		if len(r.sentTo("other")) != 1 {
			t.Error("a request waits behind a risky one")
		}
		r.answerAll(whole)
		<-done
	})
}

// TestEndpointIsToldTheTimeLeftAfterTheWait guards against endpoints that work on requests which have
// waited and are given up here at the route's timeout.
func TestEndpointIsToldTheTimeLeftAfterTheWait(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		r.fill()
		done := r.start(r.ctx, r.request("r", fleet.KindUnsafe)) // has 2 s and states none
		const waited = 500 * time.Millisecond
		time.Sleep(waited)
		r.answerAll(whole)
		if got := <-done; got.err != nil || r.timeLeft["r"] > 2*time.Second-waited {
			t.Errorf("the endpoint is told %s after a wait of %s, %v", r.timeLeft["r"], waited, got.err)
		}
	})
}

// TestClientThatLeavesDoesNotStallItsEndpoint guards against requests that wait beside an idle endpoint
// because the only answer that it owed was that to a client which had left.
func TestClientThatLeavesDoesNotStallItsEndpoint(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		ctx, leave := context.WithCancel(r.ctx)
		gone := r.start(ctx, r.request("gone", fleet.KindUnsafe))
		leave()
		<-gone
		time.Sleep(3 * time.Second)
		r.open = nil
		r.start(r.ctx, r.request("a", fleet.KindUnsafe))
		r.start(r.ctx, r.request("b", fleet.KindUnsafe))
		if n := r.waiting(); n != 0 {
			t.Errorf("%d of 2 requests wait beside an endpoint of 4 slots", n)
		}
		r.answerAll(whole)
	})
}
