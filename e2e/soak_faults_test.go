package e2e

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
)

// soakFaults are the kinds of trouble; each does its harm, waits, and mends it.
// New ones come last, so that a seed draws the same from those that were there.
var soakFaults = []struct {
	name string
	do   func(w *soakWorld, rng *rand.Rand)
}{
	{"kill", func(w *soakWorld, rng *rand.Rand) { w.kill(rng, w.instance(rng)) }},
	{"terminate", func(w *soakWorld, rng *rand.Rand) { w.terminate(w.instance(rng)) }},
	{"pause", func(w *soakWorld, rng *rand.Rand) { w.pause(rng, w.instance(rng)) }},
	{"hang up", func(w *soakWorld, rng *rand.Rand) { w.hangUp(w.instance(rng)) }},
	{"kill all agents", func(w *soakWorld, rng *rand.Rand) { w.killAll(rng, w.agents) }},
	{"kill all entries", func(w *soakWorld, rng *rand.Rand) { w.killAll(rng, w.entries) }},
	{"roll", func(w *soakWorld, rng *rand.Rand) { w.terminate(w.instance(rng)); w.terminate(w.instance(rng)) }},
	{"store away", func(w *soakWorld, rng *rand.Rand) { w.storeAway(rng) }},
	{"store slow", func(w *soakWorld, rng *rand.Rand) {
		w.store.rows.Slow(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		span(rng, 500, 2500)
		w.store.rows.Slow(0)
	}},
	{"store forgets", func(w *soakWorld, _ *rand.Rand) { w.store.rows.DropHistory() }},
	{"store loses answers", func(w *soakWorld, rng *rand.Rand) { w.loseAnswers(rng) }},
	{"store path", func(w *soakWorld, rng *rand.Rand) { m := w.instance(rng); harm(rng, m.storeLinks...) }},
	{"engine path", func(w *soakWorld, rng *rand.Rand) { harm(rng, w.agents[rng.IntN(len(w.agents))].link) }},
	{"desk path", func(w *soakWorld, rng *rand.Rand) { harm(rng, w.deskLinks[rng.IntN(len(w.deskLinks))]) }},
	{"client path", func(w *soakWorld, rng *rand.Rand) { harm(rng, w.entries[rng.IntN(len(w.entries))].link) }},
	{"engine crash", func(w *soakWorld, rng *rand.Rand) { w.crash(rng, w.engine(rng)) }},
	{"engine leaves", func(w *soakWorld, rng *rand.Rand) { w.leave(rng, w.engine(rng)) }},
	{"configuration", func(w *soakWorld, rng *rand.Rand) {
		for range 1 + rng.IntN(3) {
			w.configure()
			span(rng, 50, 600)
		}
	}},
	{"engine starts again", func(w *soakWorld, rng *rand.Rand) { w.startAgain(rng, w.engine(rng)) }},
	{"foreign entry", func(w *soakWorld, rng *rand.Rand) { w.reg.foreign(rng) }},
	{"duty path", func(w *soakWorld, rng *rand.Rand) {
		m := w.agents[rng.IntN(len(w.agents))]
		harm(rng, m.dutyLink)
		w.duties.excuse(m.name)
	}},
	{"duties away", func(w *soakWorld, rng *rand.Rand) {
		w.duties.set(true)
		span(rng, 300, 4000)
		w.duties.set(false)
	}},
	{"request that crashes endpoints", func(w *soakWorld, rng *rand.Rand) { w.crashing(rng) }},
}

// disturb draws faults of the first so many kinds until the soak's time is over,
// and mends all at the end.
func (w *soakWorld) disturb(kinds int) {
	rng := rand.New(rand.NewPCG(w.seed, 0))
	var faults sync.WaitGroup
	for time.Since(w.began) < *soakTime {
		f := soakFaults[rng.IntN(kinds)]
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		faults.Go(func() {
			w.note("fault: %s", f.name)
			f.do(w, own)
			w.note("mended: %s", f.name)
		})
		span(rng, 100, 1300)
	}
	faults.Wait()
}

// span waits between so many and so many milliseconds.
func span(rng *rand.Rand, least, most int) {
	time.Sleep(time.Duration(least+rng.IntN(most-least)) * time.Millisecond)
}

func (w *soakWorld) instance(rng *rand.Rand) *soakInstance {
	n := rng.IntN(len(w.entries) + len(w.agents))
	if n < len(w.entries) {
		return w.entries[n]
	}
	return w.agents[n-len(w.entries)]
}

func (w *soakWorld) engine(rng *rand.Rand) *soakEngine {
	n := rng.IntN(len(w.agents) + len(w.desks))
	if n < len(w.agents) {
		return w.agents[n].engine
	}
	return w.desks[n-len(w.agents)]
}

// kill kills a process and starts it again.
func (w *soakWorld) kill(rng *rand.Rand, m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("kill %s", m.name)
	m.process.kill()
	span(rng, 100, 1500)
	w.start(m)
}

func (w *soakWorld) killAll(rng *rand.Rand, instances []*soakInstance) {
	var all sync.WaitGroup
	for _, m := range instances {
		own := rand.New(rand.NewPCG(rng.Uint64(), 3))
		all.Go(func() { w.kill(own, m) })
	}
	all.Wait()
}

// start starts a process that has ended.
func (w *soakWorld) start(m *soakInstance) {
	m.logged = len(m.process.log.String())
	m.process.start()
}

// begun says whether the running process has told that it starts, after it
// began to hear signals.
func (m *soakInstance) begun() bool {
	return strings.Contains(m.process.log.String()[m.logged:], "starting")
}

// endedByHangup is how a process ends that a hangup meets before it hears signals.
const endedByHangup = "signal: hangup"

// awaitBegun waits until a process that got a hangup right after its start has
// begun, and starts it again if the hangup ended it before it heard signals.
// Nothing else may have ended it.
func (w *soakWorld) awaitBegun(m *soakInstance) {
	err := poll(func() error {
		if m.process.running() && !m.begun() {
			return errors.New("neither begun nor ended")
		}
		return nil
	})
	switch {
	case err != nil:
		w.record.problem("%s after a hangup: %v", m.name, err)
	case m.process.running():
	case m.begun() || m.process.cmd.ProcessState.String() != endedByHangup:
		w.record.problem("%s has ended by itself: %s", m.name, m.process.end())
		w.start(m)
	default:
		w.note("%s was ended by a hangup before it began", m.name)
		w.start(m)
	}
}

// terminate stops a process as planned and starts it again.
func (w *soakWorld) terminate(m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("terminate %s", m.name)
	begun := m.begun()
	if err := m.process.terminate(); err != nil {
		m.process.kill()
		// Before a program hears signals, SIGTERM simply ends it.
		if begun {
			w.record.problem("%v", err)
		}
	}
	w.start(m)
}

// pause stops a process for a while without its knowing.
func (w *soakWorld) pause(rng *rand.Rand, m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("pause %s", m.name)
	for _, s := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := m.process.cmd.Process.Signal(s); err != nil {
			w.record.problem("%s has ended by itself: %v", m.name, err)
			return
		}
		if s == syscall.SIGSTOP {
			span(rng, 200, 4000)
			continue
		}
		w.duties.excuse(m.name)
	}
}

// hangUp moves a process to its instance's other link to the store.
func (w *soakWorld) hangUp(m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("hang up %s", m.name)
	m.usesLink = 1 - m.usesLink
	w.writeSettings(m)
	begun := m.begun()
	if err := m.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		w.record.problem("%s has ended by itself: %v", m.name, err)
	}
	if !begun {
		w.awaitBegun(m)
	}
}

func (w *soakWorld) storeAway(rng *rand.Rand) {
	modes := []storeMode{storeLimited, storeRefuses, storeHangs, storeResets}
	mode := modes[rng.IntN(len(modes))]
	w.note("store mode %d", mode)
	w.store.set(mode)
	span(rng, 300, 4000)
	w.store.set(storeServes)
}

// loseAnswers leaves the outcomes of the next writes open.
func (w *soakWorld) loseAnswers(rng *rand.Rand) {
	outcomes := []rowstore.Outcome{rowstore.Refused, rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late}
	for range 3 + rng.IntN(6) {
		w.store.rows.QueueOutcomes(outcomes[rng.IntN(len(outcomes))])
	}
}

// harm disturbs links in one way, and mends them.
func harm(rng *rand.Rand, links ...*link) {
	states := []linkState{
		{delay: time.Duration(20+rng.IntN(300)) * time.Millisecond}, {cutUp: true}, {cutDown: true},
		{cutUp: true, cutDown: true}, {refuse: true},
	}
	how := rng.IntN(len(states) + 2)
	for _, k := range links {
		switch how {
		case len(states):
			k.silence()
		case len(states) + 1:
			k.reset()
		default:
			k.set(states[how])
		}
	}
	span(rng, 200, 3000)
	for _, k := range links {
		k.set(linkState{})
	}
}

// crash ends an engine and starts it again, unless another fault has it.
func (w *soakWorld) crash(rng *rand.Rand, e *soakEngine) {
	if !e.faulty.TryLock() {
		return
	}
	defer e.faulty.Unlock()
	e.crash()
	span(rng, 300, 2000)
	w.restart(e)
}

// startAgain lets an engine start again under its id, unless another fault has it.
func (w *soakWorld) startAgain(rng *rand.Rand, e *soakEngine) {
	if !e.faulty.TryLock() {
		return
	}
	defer e.faulty.Unlock()
	down := time.Duration(rng.IntN(1000)) * time.Millisecond
	if err := e.startAgain(rng.IntN(2) == 0, down); err != nil {
		w.record.problem("engine at %s: %v", e.listen, err)
	}
}

func (w *soakWorld) leave(rng *rand.Rand, e *soakEngine) {
	if !e.faulty.TryLock() {
		return
	}
	defer e.faulty.Unlock()
	e.leave()
	span(rng, 300, 1500)
	w.restart(e)
}

func (w *soakWorld) restart(e *soakEngine) {
	if err := e.start(false); err != nil {
		w.record.problem("engine at %s: %v", e.listen, err)
	}
}
