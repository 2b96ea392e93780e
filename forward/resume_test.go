package forward

import (
	"context"
	"testing"
	"testing/synctest"

	"mulberryscale.example/fleet"
)

// TestAnswersThatEndAResumptionAreReleased guards against memory that stays counted for ever, until
// all requests are refused: an endpoint answers a resumed stream with something else than a stream.
func TestAnswersThatEndAResumptionAreReleased(t *testing.T) {
	inGatedRig(t, 2, func(t *testing.T, r *gatedRig) {
		q := r.request("r", fleet.KindStream)
		q.Route.Resumable, q.Route.MaxAttempts, q.Reached = true, 2, 1
		r.wg.Go(func() { _, _ = r.Resume(r.ctx, q, "1") })
		synctest.Wait()
		r.answerOne("r", &Answer{Status: 404, Body: []byte("no such stream")})
		synctest.Wait()
		if held := r.Gates.Status().HeldBytes; held != 0 {
			t.Errorf("%d bytes held for an answer that nobody writes", held)
		}
	})
}

// TestResumedStreamFollowsItsRoute guards against streams that break off for good, since the service of their route as
// it was when they arrived has no endpoints any more.
func TestResumedStreamFollowsItsRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := rig(streams, streams)
		r := request(fleet.KindStream)
		r.Host, r.Target, r.Reached = "h.example:80", "/s/x?q=1", 1
		r.Route.Resumable, r.Route.MaxAttempts, r.Route.Backends = true, 3, []fleet.Backend{{Service: "former", Weight: 1}}
		moved := *r.Route
		moved.Host, moved.Prefix, moved.Backends = "h.example", "/s/", []fleet.Backend{{Service: "s", Weight: 1}}
		config := &fleet.Config{Version: 2, Services: []fleet.Service{{Name: "s"}}, Routes: []fleet.Route{moved}}
		config.Index()
		f.View.SetConfig(config)
		if _, err := f.Resume(t.Context(), r, "1"); err != nil || len(sender.sent) != 1 {
			t.Errorf("sent to %v, %v", sender.sent, err)
		}
	})
}

// streams answers with a stream.
func streams(context.Context) (*Answer, error) { return &Answer{Status: 200, Stream: noEvents{}}, nil }
