package proof

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/service/agent"
)

// TestRequestsSurviveFaults injects faults in random order into a deployment under load and
// then checks every guarantee of request serving.
func TestRequestsSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opts := harnessOptions{
			entries: rapid.IntRange(2, 3).Draw(rt, "entries"),
			engines: rapid.IntRange(2, 4).Draw(rt, "engines"),
		}
		// With a limit of 16 keys, agents start new incarnations during the test.
		maxKeys := rapid.SampledFrom([]int{0, 16}).Draw(rt, "maxKeys")
		opts.agent = func(c *agent.Config) { c.MaxKeys = maxKeys }
		plan := plans().Draw(rt, "plan")
		if violations := runInBubble(t, opts, func(h *harness) { h.execute(plan) }); len(violations) > 0 {
			rt.Fatalf("violated guarantees:\n%s", strings.Join(violations, "\n"))
		}
	})
}

// runInBubble calls f with a new harness in a synctest bubble, removes all faults and returns
// the violated guarantees.
func runInBubble(t *testing.T, opts harnessOptions, f func(*harness)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h, err := newHarness(opts)
		defer h.close()
		if err != nil {
			violations = []string{"the deployment did not start: " + err.Error()}
			return
		}
		f(h)
		h.heal()
		h.awaitCallers()
		h.check()
		violations = h.violations
	})
	return violations
}

// execute runs the actions of a plan in order.
func (h *harness) execute(plan []action) {
	for _, a := range plan {
		actions[a.name](h, a.a, a.b)
		time.Sleep(a.pause)
	}
}

// check checks every guarantee. It runs after awaitCallers.
func (h *harness) check() {
	records := h.records()
	for _, t := range h.trainers {
		t.check(records)
	}
	for _, l := range h.lookups {
		l.check(h)
	}
	h.checkKeyed()
	h.checkScores()
}
