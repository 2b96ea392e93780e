package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/transport"
)

// drainTimeout bounds a drain; the process is killed when it expires. Other faults can keep
// a drain from completing.
const drainTimeout = 20 * time.Second

// action is one operation or fault of a plan; a and b select its target and parameters.
type action struct {
	name  string
	a, b  int
	pause time.Duration // before the next action
}

// String implements fmt.Stringer.
func (a action) String() string { return fmt.Sprintf("%s(%d,%d)+%v", a.name, a.a, a.b, a.pause) }

// actions are the operations and faults by name. rapid selects them by the sorted names.
var actions = map[string]func(h *harness, a, b int){
	"step":           func(h *harness, a, b int) { h.trainers[pick([]string{rowTrainer, rowPartial}, a)].submit(4 + b%20) },
	"lookup":         func(h *harness, a, b int) { h.startLookup(a, b%2 == 1, lookupMaxTokens) },
	"book":           func(h *harness, a, b int) { h.startBooking(a, h.newKey()) },
	"book again":     (*harness).bookAgain,
	"book unkeyed":   (*harness).bookUnkeyed,
	"lookup once":    (*harness).lookupOnce,
	"limited lookup": (*harness).limitedLookup,
	"kill entry":     func(h *harness, a, _ int) { h.killEntry(a) },
	"kill agent":     func(h *harness, a, _ int) { h.killAgent(a) },
	"start":          (*harness).startOne,
	"drain entry":    func(h *harness, a, _ int) { h.drainEntry(a) },
	"drain agent":    func(h *harness, a, _ int) { h.drainAgent(a) },
	"freeze":         func(h *harness, a, _ int) { h.fabric.freeze(pick(h.ids(), a)) },
	"thaw":           func(h *harness, a, _ int) { h.fabric.thaw(pick(h.ids(), a)) },
	"thaw all":       (*harness).thawAll,
	"cut":            func(h *harness, a, b int) { h.fabric.Network.Cut(h.link(a, b)) },
	"mend":           func(h *harness, a, b int) { h.fabric.Network.Heal(h.link(a, b)) },
	"crash engine":   func(h *harness, a, _ int) { pick(h.engines(), a).Crash() },
	"freeze engine":  func(h *harness, a, _ int) { pick(h.engines(), a).Freeze() },
	"thaw engine":    func(h *harness, a, _ int) { pick(h.engines(), a).Thaw() },
	"cut stream":     func(h *harness, a, b int) { pick(h.engines(), a).CutNextStream(1 + b%50) },
	"slow engine":    func(h *harness, a, b int) { pick(h.engines(), a).SlowBy(float64(1 + b%20)) },
	"lag status": func(h *harness, a, b int) {
		pick(h.engines(), a).StatusLag(time.Duration(b%5) * 500 * time.Millisecond)
	},
	"fail load":      func(h *harness, a, _ int) { pick(h.engines(), a).FailNextLoads(1) },
	"lose load":      func(h *harness, a, _ int) { pick(h.engines(), a).LoseNextLoadReplies(1) },
	"publish":        func(h *harness, _, _ int) { h.publish() },
	"outage":         func(h *harness, _, _ int) { h.d.Table.Outage(true) },
	"outage ends":    func(h *harness, _, _ int) { h.d.Table.Outage(false) },
	"lose writes":    func(h *harness, _, b int) { h.d.Table.LoseNextReplies(1 + b%3) },
	"slow table":     func(h *harness, _, b int) { h.d.Table.Slow(time.Duration(b%6) * 700 * time.Millisecond) },
	"lag list":       func(h *harness, _, b int) { h.d.Instances.SetLag(time.Duration(b%6) * 2 * time.Second) },
	"lose answers":   func(h *harness, a, b int) { pick(h.bookings, a).LoseNextReplies(1 + b%2) },
	"break calls":    func(h *harness, a, b int) { pick(h.bookings, a).FailNextBeforeRun(1 + b%2) },
	"refuse calls":   func(h *harness, a, b int) { pick(h.bookings, a).RefuseConnections(b%2 == 0) },
	"stale reads":    func(h *harness, _, b int) { h.d.Table.StaleReads(b%2 == 0) },
	"slow calls":     func(h *harness, a, b int) { pick(h.bookings, a).Delay(time.Duration(b%30) * time.Second) },
	"crash service":  func(h *harness, a, _ int) { pick(h.bookings, a).Crash() },
	"break scoring":  func(h *harness, a, b int) { pick(h.scorers, a).FailNextBeforeRun(1 + b%2) },
	"refuse scoring": func(h *harness, a, b int) { pick(h.scorers, a).RefuseConnections(b%2 == 0) },
	"jump":           func(_ *harness, _, b int) { time.Sleep(time.Duration(b%60) * time.Second) },
}

// frequentActions are drawn more often than the others: each entry raises the probability.
var frequentActions = []string{"step", "step", "step", "lookup", "lookup", "book", "book", "book again", "book again", "lookup once", "limited lookup", "limited lookup", "start", "thaw all"}

func actionNames() []string {
	names := slices.Clone(frequentActions)
	for name := range actions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

var pauses = []time.Duration{0, 0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, 150 * time.Millisecond, time.Second, 4 * time.Second}

// plans generates sequences of actions.
func plans() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			name: rapid.SampledFrom(actionNames()).Draw(t, "name"),
			a:    rapid.IntRange(0, 11).Draw(t, "a"),
			b:    rapid.IntRange(0, 59).Draw(t, "b"),

			pause: rapid.SampledFrom(pauses).Draw(t, "pause"),
		}
	})
	return rapid.SliceOfN(one, 4, 40)
}

func pick[T any](from []T, n int) T { return from[n%len(from)] }

func (h *harness) ids() []string {
	var ids []string
	for _, e := range h.d.Entries {
		ids = append(ids, e.ID)
	}
	for _, a := range h.d.Agents {
		ids = append(ids, a.ID)
	}
	return ids
}

// link selects the network link between an entry and an agent.
func (h *harness) link(a, b int) (one, other transport.PeerID) {
	return transport.PeerID(pick(h.d.Entries, a).ID), transport.PeerID(pick(h.d.Agents, b).ID)
}

func (h *harness) bookAgain(a, b int) {
	h.mu.Lock()
	n := len(h.keyed)
	h.mu.Unlock()
	if n == 0 {
		return
	}
	// One of the last 4 calls, which may still be running.
	last := h.keyed[n-1-b%min(n, 4)]
	if last.header.Get(api.HeaderIdempotencyKey) != "" {
		h.startBooking(a, last.key)
	}
}

func (h *harness) bookUnkeyed(a, _ int) {
	h.call(a, &keyedCall{key: h.newKey(), header: http.Header{}})
}

func (h *harness) lookupOnce(a, b int) {
	h.sendLookup(a, &lookup{atMostOnce: true, req: api.CompletionRequest{Model: rowLookups, MaxTokens: lookupMaxTokens, Stream: b%2 == 1}})
}

func (h *harness) limitedLookup(a, b int) {
	h.sendLookup(a, &lookup{req: api.CompletionRequest{Model: rowLimited, MaxTokens: lookupMaxTokens, Stream: b%2 == 1}})
}

func (h *harness) killEntry(n int) {
	e := pick(h.d.Entries, n)
	if !h.down[e.ID] {
		h.down[e.ID] = true
		h.fabric.thaw(e.ID)
		e.Kill()
	}
}

func (h *harness) killAgent(n int) {
	a := pick(h.d.Agents, n)
	if !h.down[a.ID] {
		h.down[a.ID] = true
		a.Kill()
	}
}

// drainEntry drains and stops an entry. Other faults can make the drain time out.
func (h *harness) drainEntry(n int) {
	e := pick(h.d.Entries, n)
	if !h.down[e.ID] {
		h.stopEntry(e)
		h.drains.Wait()
	}
}

// drainAgent drains and stops an agent.
func (h *harness) drainAgent(n int) {
	a := pick(h.d.Agents, n)
	if !h.down[a.ID] {
		h.stopAgent(a)
		h.drains.Wait()
	}
}

// responseFlushTime is how long an entry's HTTP server has after the drain to write the last
// responses. The daemon waits for them with http.Server.Shutdown.
const responseFlushTime = time.Millisecond

// drainAndStop returns a function that drains an entry, lets it write its last responses and
// stops it.
func drainAndStop(e *deployment.Entry) func(context.Context) error {
	return func(ctx context.Context) error {
		err := e.Entry.Drain(ctx)
		time.Sleep(responseFlushTime)
		return errors.Join(err, e.Stop(ctx))
	}
}

// startDrain drains a process in the background and appends its error to h.drainErrs.
func (h *harness) startDrain(id string, stop func(context.Context) error) {
	h.down[id] = true
	h.drains.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, drainTimeout)
		defer cancel()
		if err := stop(ctx); err != nil {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.drainErrs = append(h.drainErrs, err)
		}
	})
}

func (h *harness) startOne(n, _ int) {
	for _, e := range h.d.Entries {
		if h.down[e.ID] && n%2 == 0 {
			h.restart(e.ID, e.Start)
			return
		}
	}
	for _, a := range h.d.Agents {
		if h.down[a.ID] {
			h.restart(a.ID, a.Start)
			return
		}
	}
}

func (h *harness) thawAll(_, _ int) {
	for _, id := range h.ids() {
		h.fabric.thaw(id)
	}
	for _, e := range h.engines() {
		e.Thaw()
	}
}

// publish publishes the next version of the weights; later steps declare that version.
func (h *harness) publish() {
	h.version++
	if err := h.d.Weights.Publish(model, h.version, nil); err != nil {
		h.errorf("weights %d: %v", h.version, err)
	}
}
