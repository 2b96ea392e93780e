package batch

import (
	"testing"
	"time"
)

// TestJobOutlivesTheAgentsOfItsService guards against accepted jobs that nobody runs: the only agent of their service
// is lost, its engine stays registered, and the idle engines of the route's other service were left alone since the
// service still had an instance. Not even ItemTTL ended such a job.
func TestJobOutlivesTheAgentsOfItsService(t *testing.T) {
	for name, disturb := range map[string]func(r *workerRig){
		"agent is lost":        func(r *workerRig) { r.kill(0) },
		"agent comes back":     func(r *workerRig) { r.kill(0); time.AfterFunc(4*time.Second, func() { r.start(0) }) },
		"back within a second": func(r *workerRig) { r.kill(0); time.AfterFunc(700*time.Millisecond, func() { r.start(0) }) },
		"agent and engine":     func(r *workerRig) { r.kill(0); r.loseSmall() },
		"one taker is lost":    func(r *workerRig) { r.kill(0); time.AfterFunc(4*time.Second, func() { r.kill(1) }) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
				rig.submitSmall()
				disturb(rig)
				rig.requireComplete(rig.await("j", splitItems, 10*time.Second))
				if n := len(rig.engines.doubled); n > 0 {
					t.Errorf("%d items ran at two engines at once", n)
				}
			})
		})
	}
}

// TestLaterJobOutlivesTheAgentsOfItsService guards against jobs that are accepted for a service whose agents were lost
// before.
func TestLaterJobOutlivesTheAgentsOfItsService(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
		rig.kill(0)
		time.Sleep(10 * time.Second)
		rig.submitSmall()
		rig.requireComplete(rig.await("j", splitItems, 10*time.Second))
	})
}

// TestAgentThatIsCutOffTakesNoJobs guards against a second run of a whole job by an agent that reaches nobody: to it
// all services seem lost.
func TestAgentThatIsCutOffTakesNoJobs(t *testing.T) {
	bubble(t, func(t *testing.T) {
		rig := newSplitRig(t, splitConfig(1, 9, 1), "large")
		rig.cutOff(1)
		rig.submitSmall()
		rig.requireComplete(rig.await("j", splitItems, 20*time.Second))
		if n := rig.runsAtLarge(); n > 0 {
			t.Errorf("%d runs at the other service", n)
		}
	})
}

// TestSilenceBeforeAnotherJobDoesNotCount guards against a service that counts as lost after one call without an answer,
// since a call was not answered either when a job was last watched.
func TestSilenceBeforeAnotherJobDoesNotCount(t *testing.T) {
	l, now := newLostServices(), time.Now()
	l.note("s", false, now)
	l.forgetUnwatched(nil)
	now = now.Add(time.Minute)
	if l.note("s", false, now) {
		t.Error("lost after one call of its second silence")
	}
	l.forgetUnwatched(map[string][]string{"s": nil})
	if !l.note("s", false, now.Add(lostAfter)) {
		t.Errorf("not lost after %v of silence", lostAfter)
	}
	l.forgetUnwatched(nil)
	if !l.has("s") {
		t.Error("no longer lost, though none of its agents has answered")
	}
}
