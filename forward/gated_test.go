package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/flowcontrol"
	"mulberryscale.example/observe"
)

// wantRefusal checks that a request was refused for a reason.
func wantRefusal(t *testing.T, got result, reason string, notRun bool) *Refusal {
	t.Helper()
	var refusal *Refusal
	if !errors.As(got.err, &refusal) || refusal.Reason != reason || refusal.NotRun != notRun || refusal.RetryAfter <= 0 {
		t.Fatalf("got %#v, want a refusal for %s, not run %t", got.err, reason, notRun)
	}
	return refusal
}

// TestFullServiceQueuesRequests guards against sends beyond what the endpoints can take: a request
// without room waits, is sent once there is room, and is counted.
func TestFullServiceQueuesRequests(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		waiting := r.fill()
		sent := len(r.sent)
		if sent == 0 || len(r.sentTo(fmt.Sprint("fill-", sent))) != 0 {
			t.Fatalf("%d sends, and the request that waits was sent", sent)
		}
		time.Sleep(50 * time.Millisecond)
		r.answerAll(whole)
		if got := <-waiting; got.err != nil || got.answer.Status != 200 {
			t.Fatalf("got %+v", got)
		}
		if n := r.Counters.Value(observe.NameGateAdmitted, "s"); n != int64(sent+1) {
			t.Errorf("%d sends counted as admitted, want %d", n, sent+1)
		}
		if n := r.Counters.Value(observe.NameGateQueued, "s"); n != 1 {
			t.Errorf("%d counted as queued", n)
		}
	})
}

// TestClientLeavesWhileItWaits guards against places of clients that have gone.
func TestClientLeavesWhileItWaits(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		r.fill()
		ctx, leave := context.WithCancel(r.ctx)
		gone := r.start(ctx, r.request("gone", fleet.KindUnsafe))
		before := r.waiting()
		leave()
		synctest.Wait()
		wantRefusal(t, <-gone, ReasonClientGone, true)
		if r.waiting() != before-1 || len(r.sentTo("gone")) != 0 {
			t.Errorf("%d wait after one of %d has left, sent to %v", r.waiting(), before, r.sentTo("gone"))
		}
		r.answerAll(whole)
	})
}

// TestClientThatHasLeftIsNotSent checks that a request which is admitted at the moment when its client
// leaves gives its place back unsent.
func TestClientThatHasLeftIsNotSent(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		ctx, leave := context.WithCancel(r.ctx)
		leave()
		wantRefusal(t, <-r.start(ctx, r.request("gone", fleet.KindUnsafe)), ReasonClientGone, true)
		if open := r.Gates.Status().Services["s"].Open; open != 0 || len(r.sent) != 0 {
			t.Errorf("%d places held, sent to %v", open, r.sent)
		}
	})
}

// TestWaitEndsAtTheDeadline checks that a request is refused as not run at the client's deadline and
// at the route's timeout, or before.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		r.fill()
		q := r.request("deadline", fleet.KindUnsafe)
		q.Deadline = time.Now().Add(300 * time.Millisecond)
		p := r.request("timeout", fleet.KindUnsafe)
		p.Route.Timeout = 400 * time.Millisecond
		byDeadline, byTimeout := r.start(r.ctx, q), r.start(r.ctx, p)
		got := <-byDeadline
		if wantRefusal(t, got, ReasonNotAdmitted, true); got.took > 300*time.Millisecond {
			t.Errorf("refused after %s", got.took)
		}
		got = <-byTimeout
		if wantRefusal(t, got, ReasonNotAdmitted, true); got.took > 400*time.Millisecond {
			t.Errorf("refused after %s", got.took)
		}
		if n := r.Counters.Value(observe.NameForwardRefusals, ReasonNotAdmitted); n != 2 {
			t.Errorf("%d refusals counted", n)
		}
		r.answerAll(whole)
	})
}

// TestEndpointIsReplacedWhileRequestsWait checks that waiting requests go to the new incarnation.
func TestEndpointIsReplacedWhileRequestsWait(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		waiting := r.fill()
		r.list("e0", 2)
		r.list("e1", 1)
		r.answerAll(whole)
		if got := <-waiting; got.err != nil {
			t.Fatal(got.err)
		}
	})
}

// TestServiceIsRemovedWhileRequestsWait checks that requests don't wait for endpoints that are gone,
// and that the service's gate is dropped with it.
func TestServiceIsRemovedWhileRequestsWait(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		waiting := r.fill()
		r.View.SetConfig(&fleet.Config{Version: 2})
		if got := <-waiting; got.took != 0 {
			t.Errorf("refused after %s", got.took)
		} else {
			wantRefusal(t, got, ReasonNoEndpoint, true)
		}
		synctest.Wait()
		if r.Gates.byService["s"] != nil {
			t.Error("the gate of the removed service is kept")
		}
		r.cancel()
		synctest.Wait()
	})
}

// TestDeclinedSendWaitsForItsTurn guards against a request that runs through all endpoints, each of
// which declines it: it waits, may go to the same endpoint again, and its sends that did not run do
// not count as attempts.
func TestDeclinedSendWaitsForItsTurn(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		r.declining["e0"] = true
		q := r.request("r", fleet.KindUnsafe)
		q.Route.MaxAttempts = 1
		done := r.start(r.ctx, q)
		if len(r.sentTo("r")) != 1 || len(done) != 0 || r.waiting() != 1 {
			t.Fatalf("sent to %v, %d wait", r.sentTo("r"), r.waiting())
		}
		r.declining["e0"] = false
		r.answerAll(whole)
		if got := <-done; got.err != nil || len(r.sentTo("r")) != 2 || q.Reached != 1 {
			t.Fatalf("sent to %v, reached %d, %v", r.sentTo("r"), q.Reached, got.err)
		}
		if n := r.Counters.Value(observe.NameSecondSendsDenied, ""); n != 0 {
			t.Errorf("%d sends that did not run were charged to the budget", n)
		}
	})
}

// TestMisdirectedEndpointIsNotTriedAgain checks that another incarnation than the listed one gets a
// request once.
func TestMisdirectedEndpointIsNotTriedAgain(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		done := r.start(r.ctx, r.request("r", fleet.KindUnsafe))
		r.answerOne("r", &Answer{Status: 421, Declined: true})
		wantRefusal(t, <-done, ReasonDeclined, true)
	})
}

// TestRefusalAfterARunIsNotCalledNotRun guards against a client that repeats a request which has
// run: the second send is not admitted after the first one broke off.
func TestRefusalAfterARunIsNotCalledNotRun(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		q := r.request("r", fleet.KindSafe)
		q.Route.Objective = time.Minute // no hedge
		done := r.start(r.ctx, q)
		r.Gates.held.add(r.Gates.held.limit)
		r.answerOne("r", nil) // broken off
		wantRefusal(t, <-done, ReasonNotAdmitted, false)
	})
}

// TestNoHedgeWhileRequestsWait guards against hedges that take the room of requests which wait.
func TestNoHedgeWhileRequestsWait(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		done := r.start(r.ctx, r.request("slow", fleet.KindSafe))
		r.fill()
		time.Sleep(time.Second)
		synctest.Wait()
		if sent := r.sentTo("slow"); len(sent) != 1 {
			t.Errorf("hedged to %v while a request waits", sent)
		}
		if r.Counters.Value(observe.NameSecondSendsDenied, ReasonSlow) == 0 {
			t.Error("the denied hedge is not counted")
		}
		r.answerAll(whole)
		if got := <-done; got.err != nil {
			t.Fatal(got.err)
		}
	})
}

// TestSecondSendsAreBounded checks that hedges draw on the budget, and that they are made at all.
func TestSecondSendsAreBounded(t *testing.T) {
	inGatedRig(t, 4, func(t *testing.T, r *gatedRig) {
		const requests = 6
		for n := range requests {
			r.start(r.ctx, r.request(fmt.Sprint("r", n), fleet.KindSafe))
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if hedges := len(r.sent) - requests; hedges != 3 {
			t.Errorf("%d hedges of %d requests, want the floor of the budget", hedges, requests)
		}
		r.answerAll(whole)
	})
}

// TestStreamHoldsItsRoom checks that a stream counts as open until it is closed.
func TestStreamHoldsItsRoom(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		done := r.start(r.ctx, r.request("stream", fleet.KindStream))
		r.answerOne("stream", &Answer{Status: 200, Stream: noEvents{}})
		stream := <-done
		synctest.Wait()
		sent := len(r.sent)
		waiting := r.fill()
		full := len(r.sent) - sent
		stream.answer.Stream.Close()
		synctest.Wait()
		if len(r.sent) != sent+full+1 {
			t.Errorf("%d sends after the stream was closed, want %d", len(r.sent), sent+full+1)
		}
		r.answerAll(whole)
		if got := <-waiting; got.err != nil {
			t.Fatal(got.err)
		}
	})
}

// TestOpenStreamsAreNoSilence guards against requests that wait because an endpoint which streams has
// ended none of its answers for a while.
func TestOpenStreamsAreNoSilence(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		q := r.request("stream", fleet.KindStream)
		q.Route.Timeout = time.Minute
		done := r.start(r.ctx, q)
		r.answerOne("stream", &Answer{Status: 200, Stream: noEvents{}})
		stream := <-done
		for n := range 5 {
			time.Sleep(200 * time.Millisecond)
			id := fmt.Sprint("lookup", n)
			lookup := r.start(r.ctx, r.request(id, fleet.KindUnsafe))
			if len(r.sentTo(id)) != 1 {
				t.Fatalf("lookup %d waits beside one open stream", n)
			}
			time.Sleep(20 * time.Millisecond)
			r.answerOne(id, whole())
			if got := <-lookup; got.err != nil {
				t.Fatal(got.err)
			}
		}
		stream.answer.Stream.Close()
		r.answerAll(whole)
	})
}

// TestResumedStreamsDrawOnTheBudget guards against streams that break off and are resumed without
// end while a service fails.
func TestResumedStreamsDrawOnTheBudget(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		resumed := 0
		for n := range 10 {
			q := r.request(fmt.Sprint("r", n), fleet.KindStream)
			q.Route.Resumable, q.Reached = true, 1
			r.wg.Go(func() {
				if events, err := r.Resume(r.ctx, q, "1"); err == nil {
					events.Close()
				}
			})
			synctest.Wait()
			if len(r.sentTo(q.ID)) > 0 {
				resumed++
				r.answerOne(q.ID, &Answer{Status: 200, Stream: noEvents{}})
			}
		}
		if resumed != 3 || r.Counters.Value(observe.NameSecondSendsDenied, reasonResumed) != 7 {
			t.Errorf("%d of 10 streams resumed without any first send", resumed)
		}
	})
}

// TestRankOfRequests checks that an organisation's priority goes before that of the route.
func TestRankOfRequests(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		for organisation, want := range map[string]int{"first": 0, "second": 2, "unknown": 1, "": 1} {
			q := r.request("r", fleet.KindUnsafe)
			q.Organisation, q.Route.Priority = organisation, 1
			c := &call{Forwarder: r.Forwarder, request: q}
			if got := c.rank(); got != want {
				t.Errorf("organisation %q has rank %d, want %d", organisation, got, want)
			}
		}
	})
}

// TestSlowReadersAreBounded guards against memory that grows with clients which read slowly: their
// answers count, and new requests are refused as not run until they are written.
func TestSlowReadersAreBounded(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		const size = 3 << 20
		r.Gates.held.limit = 2 * size
		var answers []*Answer
		for n := range 2 {
			id := fmt.Sprint("r", n)
			done := r.start(r.ctx, r.request(id, fleet.KindUnsafe))
			r.answerOne(id, &Answer{Status: 200, Body: make([]byte, size)})
			answers = append(answers, (<-done).answer)
		}
		refusal := wantRefusal(t, <-r.start(r.ctx, r.request("refused", fleet.KindUnsafe)), ReasonNotAdmitted, true)
		var refused *flowcontrol.Refused
		if !errors.As(refusal, &refused) || refused.Reason != flowcontrol.ReasonQueueFull {
			t.Errorf("got %v", refusal)
		}
		if n := r.Counters.NotAdmittedCount(flowcontrol.ReasonQueueFull); n != 1 {
			t.Errorf("%d refusals counted", n)
		}
		for _, answer := range answers {
			answer.Release()
		}
		done := r.start(r.ctx, r.request("served", fleet.KindUnsafe))
		r.answerOne("served", whole())
		if got := <-done; got.err != nil {
			t.Fatal(got.err)
		}
	})
}

// TestLargeBodiesInTheQueueAreBounded guards against memory that grows with large requests which wait;
// small ones are still queued.
func TestLargeBodiesInTheQueueAreBounded(t *testing.T) {
	inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
		r.Gates.held.limit = 5 << 20
		r.fill()
		large := r.request("large", fleet.KindUnsafe)
		large.Body = make([]byte, 3<<20)
		other := r.request("other", fleet.KindUnsafe)
		other.Body = large.Body
		before := r.waiting()
		r.start(r.ctx, large)
		refusal := wantRefusal(t, <-r.start(r.ctx, other), ReasonNotAdmitted, true)
		var refused *flowcontrol.Refused
		if !errors.As(refusal, &refused) || refused.Reason != flowcontrol.ReasonQueueFull {
			t.Errorf("got %v", refusal)
		}
		r.start(r.ctx, r.request("small", fleet.KindUnsafe))
		if r.waiting() != before+2 {
			t.Errorf("%d requests wait, want the large and the small one beside %d", r.waiting(), before)
		}
		r.answerAll(whole)
		if held := r.Gates.Status().HeldBytes; held != 0 && held != len(whole().Body)*len(r.sent) {
			t.Errorf("%d bytes held beside the answers, which nobody has written", held)
		}
	})
}

// TestSilentEndpointsAreLeftOut guards against requests that are lost at endpoints which answer
// nothing, where hedges are limited: after the first ones, requests go to the other endpoint.
func TestSilentEndpointsAreLeftOut(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		late := 0
		for n := range 60 {
			q := r.request(fmt.Sprint("r", n), fleet.KindSafe)
			done := r.start(r.ctx, q)
			for i := 0; i < 100 && len(done) == 0; i++ {
				r.mu.Lock()
				r.open = slices.DeleteFunc(r.open, func(s *heldSend) bool {
					if s.to.ID == "e1" {
						s.answer <- whole()
					}
					return s.to.ID == "e1"
				})
				r.mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				synctest.Wait()
			}
			if got := <-done; got.err != nil || got.took > 150*time.Millisecond {
				late++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if late > 2 {
			t.Errorf("%d of 60 requests late with one endpoint of two that answers nothing", late)
		}
	})
}
