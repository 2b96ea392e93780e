package forward

import (
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
