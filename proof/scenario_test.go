package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
)

// TestScenarios runs each file of testdata/scenarios: it executes the steps on a new harness,
// removes all faults and prints the violated guarantees, or "kept" if there are none.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			hook := &claimHook{}
			opts := smallDeployment(hook)
			d.ScanArgs(t, "entries", &opts.entries)
			d.ScanArgs(t, "engines", &opts.engines)
			var steps []*step
			for line := range strings.Lines(d.Input) {
				steps = append(steps, parseStep(t, line))
			}
			violations := runInBubble(t, opts, func(h *harness) {
				for _, s := range steps {
					verbs[s.verb](&scenario{h, hook}, s)
					time.Sleep(s.pause)
				}
			})
			if len(violations) == 0 {
				return "kept\n"
			}
			return strings.Join(violations, "\n")
		})
	})
}

// scenario is the harness on which the steps of one file run.
type scenario struct {
	*harness
	hook *claimHook
}

// step is one line of a scenario. Entries, agents, engines and calls are numbered from 0.
type step struct {
	verb                       string
	entry, agent, engine, call int
	n, tokens                  int
	stream                     bool
	trainer, key               string
	code, notRun               string // expected in a refusal
	then                       string // verb to run when the next claim is committed
	delay, pause               time.Duration
}

// parseStep parses a line. It fails the test on an unknown verb or parameter.
func parseStep(t *testing.T, line string) *step {
	t.Helper()
	cmd, args, err := datadriven.ParseLine(line)
	if err != nil {
		t.Fatal(err)
	}
	s := &step{verb: cmd}
	var delay, pause string
	fields := map[string]any{
		"entry": &s.entry, "agent": &s.agent, "engine": &s.engine, "call": &s.call, "n": &s.n, "tokens": &s.tokens,
		"stream": &s.stream, "trainer": &s.trainer, "key": &s.key, "code": &s.code, "not_run": &s.notRun, "verb": &s.then,
		"delay": &delay, "pause": &pause,
	}
	for _, arg := range args {
		field, known := fields[arg.Key]
		if !known {
			t.Fatalf("%q: no such parameter: %s", line, arg.Key)
		}
		arg.Scan(t, 0, field)
	}
	s.delay, s.pause = duration(t, delay), duration(t, pause)
	if verbs[s.verb] == nil || s.then != "" && verbs[s.then] == nil {
		t.Fatalf("%q: no such verb", line)
	}
	return s
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// verbs are the operations, faults and checks that a step can name.
var verbs map[string]func(h *scenario, s *step)

func init() { // in init, since on-claim refers to verbs
	verbs = map[string]func(h *scenario, s *step){
		"submit":           func(h *scenario, s *step) { h.trainers[s.trainer].submit(s.n) },
		"finish":           func(h *scenario, s *step) { h.trainers[s.trainer].finish(); <-h.trainers[s.trainer].done },
		"lookup":           func(h *scenario, s *step) { h.startLookup(s.entry, s.stream, s.tokens) },
		"lookups":          func(h *scenario, s *step) { h.startLookups(s.n, s.tokens) },
		"limited-lookup":   func(h *scenario, s *step) { h.limitedLookup(s.entry, 0) },
		"book":             func(h *scenario, s *step) { h.startBooking(s.entry, s.key) },
		"await-call":       func(h *scenario, s *step) { <-h.keyed[s.call].done },
		"on-claim":         func(h *scenario, s *step) { h.hook.set(func() { verbs[s.then](h, s) }) },
		"publish":          func(h *scenario, _ *step) { h.publish() },
		"outage":           func(h *scenario, _ *step) { h.d.Table.Outage(true) },
		"outage-ends":      func(h *scenario, _ *step) { h.d.Table.Outage(false) },
		"slow-table":       func(h *scenario, s *step) { h.d.Table.Slow(s.delay) },
		"lose-writes":      func(h *scenario, s *step) { h.d.Table.LoseNextReplies(s.n) },
		"freeze":           func(h *scenario, s *step) { h.fabric.freeze(h.d.Entries[s.entry].ID) },
		"thaw":             func(h *scenario, s *step) { h.fabric.thaw(h.d.Entries[s.entry].ID) },
		"cut-bookings":     func(h *scenario, s *step) { h.cutBookings(s.entry) },
		"restart-bookings": func(h *scenario, _ *step) { h.restartBookings() },
		"slow-engines":     func(h *scenario, s *step) { h.slowEngines(s.n) },
		"fail-loads":       func(h *scenario, s *step) { h.engines()[s.engine].FailNextLoads(s.n) },
		"kill-entry":       func(h *scenario, s *step) { h.killEntry(s.entry) },
		"kill-agent":       func(h *scenario, s *step) { h.killAgent(s.agent) },
		"start-entry":      func(h *scenario, s *step) { h.restart(h.d.Entries[s.entry].ID, h.d.Entries[s.entry].Start) },
		"start-agent":      func(h *scenario, s *step) { h.restart(h.d.Agents[s.agent].ID, h.d.Agents[s.agent].Start) },
		"stop-entry":       func(h *scenario, s *step) { h.stopEntry(h.d.Entries[s.entry]) },
		"stop-entries":     func(h *scenario, _ *step) { each(h.d.Entries, h.stopEntry) },
		"stop-agent":       func(h *scenario, s *step) { h.stopAgent(h.d.Agents[s.agent]) },
		"stop-agents":      func(h *scenario, _ *step) { each(h.d.Agents, h.stopAgent) },
		"stops-end":        func(h *scenario, _ *step) { h.drains.Wait() },

		"want-answer":             func(h *scenario, s *step) { h.wantAnswer(h.keyed[s.call]) },
		"want-refusal":            func(h *scenario, s *step) { h.wantRefusal(h.keyed[s.call], api.Code(s.code), api.NotRun(s.notRun)) },
		"want-not-refused-as-run": func(h *scenario, s *step) { h.wantNotRefusedAsRun(h.keyed[s.call]) },
		"want-booking-runs":       func(h *scenario, s *step) { h.wantCount("runs of "+s.key, h.bookingRuns(s.key), s.n) },
		"want-delivered":          func(h *scenario, s *step) { h.wantCount("samples delivered", len(h.trainers[s.trainer].got), s.n) },
		"want-none-refused":       func(h *scenario, s *step) { h.wantCount("samples refused", len(h.trainers[s.trainer].refused), 0) },
		"want-runs":               func(h *scenario, s *step) { h.wantCount("runs", len(h.records()), s.n) },
		"want-none-cancelled":     func(h *scenario, _ *step) { h.wantNoneCancelled() },
		"want-answers":            func(h *scenario, _ *step) { h.wantAnswers() },
		"want-nothing-cut":        func(h *scenario, _ *step) { h.wantNothingCut() },
		"want-resumed":            func(h *scenario, _ *step) { h.wantResumed() },
	}
}

func each[T any](all []T, do func(T)) {
	for _, one := range all {
		do(one)
	}
}

// startLookups sends n lookups to the entries in rotation; every second one is streamed.
func (h *harness) startLookups(n, tokens int) {
	for i := range n {
		h.startLookup(i, i%2 == 0, tokens)
	}
}

func (h *harness) slowEngines(by int) {
	for _, e := range h.engines() {
		e.SlowBy(float64(by))
	}
}

func (h *harness) stopEntry(e *deployment.Entry) { h.startDrain(e.ID, drainAndStop(e)) }

func (h *harness) stopAgent(a *deployment.Agent) { h.startDrain(a.ID, a.Stop) }

func (h *harness) wantCount(what string, got, want int) {
	if got != want {
		h.errorf("%s: %d, want %d", what, got, want)
	}
}

// wantNotRefusedAsRun reports a violation if a call was refused with not_run=false.
func (h *harness) wantNotRefusedAsRun(c *keyedCall) {
	<-c.done
	if r, ok := c.err.(*api.Refusal); ok && r.NotRun == api.NotRunFalse {
		h.errorf("refused with not_run=false: %v", r)
	}
}

// wantResumed reports a violation unless a sample was resumed from a prefix.
func (h *harness) wantResumed() {
	for _, r := range h.records() {
		if r.Prefix != "" && len(r.Spans) > 0 {
			return
		}
	}
	h.errorf("no sample was resumed, so the scenario does not test resumption")
}
