package proof

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/service/agent"
)

// TestRequestsSurviveFaults brings faults in random order over a deployment
// under use and then checks every promise of the request side.
func TestRequestsSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := worldOptions{
			entries: rapid.IntRange(2, 3).Draw(rt, "entries"),
			engines: rapid.IntRange(2, 4).Draw(rt, "engines"),
		}
		// Some agents remember so few keys that they take another incarnation now and then.
		maxKeys := rapid.SampledFrom([]int{0, 16}).Draw(rt, "maxKeys")
		size.agent = func(c *agent.Config) { c.MaxKeys = maxKeys }
		plan := plans().Draw(rt, "plan")
		if broken := inBubble(t, size, func(w *world) { w.follow(plan) }); len(broken) > 0 {
			rt.Fatalf("broken promises:\n%s", strings.Join(broken, "\n"))
		}
	})
}

// inBubble runs a world through f, ends all faults, and returns the promises
// that were broken.
func inBubble(t *testing.T, size worldOptions, f func(*world)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w, err := newWorld(size)
		defer w.close()
		if err != nil {
			broken = []string{"the world did not start: " + err.Error()}
			return
		}
		f(w)
		w.heal()
		w.settle()
		w.check()
		broken = w.broken
	})
	return broken
}

// follow lets the plan happen.
func (w *world) follow(plan []action) {
	for _, a := range plan {
		actions[a.name](w, a.a, a.b)
		time.Sleep(a.pause)
	}
}

// check checks every promise once the world has settled.
func (w *world) check() {
	records := w.records()
	for _, t := range w.trainers {
		t.check(records)
	}
	for _, l := range w.lookups {
		l.check(w)
	}
	w.checkKeyed()
	w.checkScores()
}
