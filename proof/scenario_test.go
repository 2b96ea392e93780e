package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
)

// TestScenarios runs each file of testdata/scenarios: it takes a world through
// the steps, ends all faults and says which promises were broken.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			h := &claimHook{}
			size := small(h)
			d.ScanArgs(t, "entries", &size.entries)
			d.ScanArgs(t, "engines", &size.engines)
			var steps []*step
			for line := range strings.Lines(d.Input) {
				steps = append(steps, parseStep(t, line))
			}
			broken := inBubble(t, size, func(w *world) {
				for _, s := range steps {
					verbs[s.verb](&scenario{w, h}, s)
					time.Sleep(s.pause)
				}
			})
			if len(broken) == 0 {
				return "kept\n"
			}
			return strings.Join(broken, "\n")
		})
	})
}

// scenario is a world that goes through steps.
type scenario struct {
	*world
	hook *claimHook
}

// step is one line of a scenario. Entries, agents, engines and calls are
// counted from 0.
type step struct {
	verb                       string
	entry, agent, engine, call int
	n, tokens                  int
	stream                     bool
	trainer, key               string
	code, notRun               string // of a refusal
	then                       string // verb that a claim sets off
	delay, pause               time.Duration
}

// parseStep reads a line; a mistake fails the test.
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

// verbs are what a step does or wants.
var verbs map[string]func(w *scenario, s *step)

func init() { // here, since on-claim looks a verb up
	verbs = map[string]func(w *scenario, s *step){
		"submit":           func(w *scenario, s *step) { w.trainers[s.trainer].submit(s.n) },
		"finish":           func(w *scenario, s *step) { w.trainers[s.trainer].finish(); <-w.trainers[s.trainer].ended },
		"lookup":           func(w *scenario, s *step) { w.startLookup(s.entry, s.stream, s.tokens) },
		"lookups":          func(w *scenario, s *step) { w.startLookups(s.n, s.tokens) },
		"limited-lookup":   func(w *scenario, s *step) { w.limitedLookup(s.entry, 0) },
		"book":             func(w *scenario, s *step) { w.startBooking(s.entry, s.key) },
		"await-call":       func(w *scenario, s *step) { <-w.keyed[s.call].done },
		"on-claim":         func(w *scenario, s *step) { w.hook.set(func() { verbs[s.then](w, s) }) },
		"publish":          func(w *scenario, _ *step) { w.publish() },
		"outage":           func(w *scenario, _ *step) { w.d.Table.Outage(true) },
		"outage-ends":      func(w *scenario, _ *step) { w.d.Table.Outage(false) },
		"slow-table":       func(w *scenario, s *step) { w.d.Table.Slow(s.delay) },
		"lose-writes":      func(w *scenario, s *step) { w.d.Table.LoseNextReplies(s.n) },
		"freeze":           func(w *scenario, s *step) { w.fabric.freeze(w.d.Entries[s.entry].ID) },
		"thaw":             func(w *scenario, s *step) { w.fabric.thaw(w.d.Entries[s.entry].ID) },
		"cut-bookings":     func(w *scenario, s *step) { w.cutBookings(s.entry) },
		"restart-bookings": func(w *scenario, _ *step) { w.restartBookings() },
		"slow-engines":     func(w *scenario, s *step) { w.slowEngines(s.n) },
		"fail-loads":       func(w *scenario, s *step) { w.engines()[s.engine].FailNextLoads(s.n) },
		"kill-entry":       func(w *scenario, s *step) { w.killEntry(s.entry) },
		"kill-agent":       func(w *scenario, s *step) { w.killAgent(s.agent) },
		"start-entry":      func(w *scenario, s *step) { w.startAgain(w.d.Entries[s.entry].ID, w.d.Entries[s.entry].Start) },
		"start-agent":      func(w *scenario, s *step) { w.startAgain(w.d.Agents[s.agent].ID, w.d.Agents[s.agent].Start) },
		"stop-entry":       func(w *scenario, s *step) { w.stopEntry(w.d.Entries[s.entry]) },
		"stop-entries":     func(w *scenario, _ *step) { each(w.d.Entries, w.stopEntry) },
		"stop-agent":       func(w *scenario, s *step) { w.stopAgent(w.d.Agents[s.agent]) },
		"stop-agents":      func(w *scenario, _ *step) { each(w.d.Agents, w.stopAgent) },
		"stops-end":        func(w *scenario, _ *step) { w.stops.Wait() },

		"want-answer":             func(w *scenario, s *step) { w.wantAnswer(w.keyed[s.call]) },
		"want-refusal":            func(w *scenario, s *step) { w.wantRefusal(w.keyed[s.call], api.Code(s.code), api.NotRun(s.notRun)) },
		"want-not-refused-as-run": func(w *scenario, s *step) { w.wantNotRefusedAsRun(w.keyed[s.call]) },
		"want-booking-runs":       func(w *scenario, s *step) { w.wantCount("runs of "+s.key, w.bookingRuns(s.key), s.n) },
		"want-delivered":          func(w *scenario, s *step) { w.wantCount("samples delivered", len(w.trainers[s.trainer].got), s.n) },
		"want-none-refused":       func(w *scenario, s *step) { w.wantCount("samples refused", len(w.trainers[s.trainer].refused), 0) },
		"want-runs":               func(w *scenario, s *step) { w.wantCount("runs", len(w.records()), s.n) },
		"want-none-cancelled":     func(w *scenario, _ *step) { w.wantNoneCancelled() },
		"want-answers":            func(w *scenario, _ *step) { w.wantAnswers() },
		"want-nothing-cut":        func(w *scenario, _ *step) { w.wantNothingCut() },
		"want-resumed":            func(w *scenario, _ *step) { w.wantResumed() },
	}
}

func each[T any](all []T, do func(T)) {
	for _, one := range all {
		do(one)
	}
}

// startLookups makes lookups at the entries in turn, every second one streamed.
func (w *world) startLookups(n, tokens int) {
	for i := range n {
		w.startLookup(i, i%2 == 0, tokens)
	}
}

func (w *world) slowEngines(by int) {
	for _, e := range w.engines() {
		e.SlowBy(float64(by))
	}
}

func (w *world) stopEntry(e *deployment.Entry) { w.beginStop(e.ID, stopOf(e)) }

func (w *world) stopAgent(a *deployment.Agent) { w.beginStop(a.ID, a.Stop) }

func (w *world) wantCount(what string, got, want int) {
	if got != want {
		w.breach("%s: %d, want %d", what, got, want)
	}
}

// wantNotRefusedAsRun notes a breach if a call was refused as one that ran.
func (w *world) wantNotRefusedAsRun(c *keyedCall) {
	<-c.done
	if r, ok := c.err.(*api.Refusal); ok && r.NotRun == api.NotRunFalse {
		w.breach("refused as run: %v", r)
	}
}

// wantResumed notes a breach unless a sample went on from a prefix.
func (w *world) wantResumed() {
	for _, r := range w.records() {
		if r.Prefix != "" && len(r.Spans) > 0 {
			return
		}
	}
	w.breach("no sample was resumed: the scenario proves nothing")
}
