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

// soakFaults are the kinds of faults. Each injects its fault, waits, and repairs it.
// New kinds are appended, so that existing seeds draw the same faults as before.
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
	{"store away", func(w *soakWorld, rng *rand.Rand) { w.storeOutage(rng) }},
	{"store slow", func(w *soakWorld, rng *rand.Rand) {
		w.store.rows.Slow(time.Duration(50+rng.IntN(400)) * time.Millisecond)
		sleepBetween(rng, 500, 2500)
		w.store.rows.Slow(0)
	}},
	{"store forgets", func(w *soakWorld, _ *rand.Rand) { w.store.rows.DropHistory() }},
	{"store loses answers", func(w *soakWorld, rng *rand.Rand) { w.loseAnswers(rng) }},
	{"store path", func(w *soakWorld, rng *rand.Rand) { m := w.instance(rng); disruptLinks(rng, m.storeLinks...) }},
	{"engine path", func(w *soakWorld, rng *rand.Rand) { disruptLinks(rng, w.agents[rng.IntN(len(w.agents))].link) }},
	{"desk path", func(w *soakWorld, rng *rand.Rand) { disruptLinks(rng, w.deskLinks[rng.IntN(len(w.deskLinks))]) }},
	{"client path", func(w *soakWorld, rng *rand.Rand) { disruptLinks(rng, w.entries[rng.IntN(len(w.entries))].link) }},
	{"engine crash", func(w *soakWorld, rng *rand.Rand) { w.crashEngine(rng, w.engine(rng)) }},
	{"engine leaves", func(w *soakWorld, rng *rand.Rand) { w.shutDownEngine(rng, w.engine(rng)) }},
	{"configuration", func(w *soakWorld, rng *rand.Rand) {
		for range 1 + rng.IntN(3) {
			w.configure()
			sleepBetween(rng, 50, 600)
		}
	}},
	{"engine starts again", func(w *soakWorld, rng *rand.Rand) { w.restartSameID(rng, w.engine(rng)) }},
	{"foreign entry", func(w *soakWorld, rng *rand.Rand) { w.registry.writeForeignRow(rng) }},
	{"duty path", func(w *soakWorld, rng *rand.Rand) {
		m := w.agents[rng.IntN(len(w.agents))]
		disruptLinks(rng, m.dutyLink)
		w.duties.tolerateLateCalls(m.name)
	}},
	{"duties away", func(w *soakWorld, rng *rand.Rand) {
		w.duties.setUnavailable(true)
		sleepBetween(rng, 300, 4000)
		w.duties.setUnavailable(false)
	}},
	{"request that crashes endpoints", func(w *soakWorld, rng *rand.Rand) { w.sendCrashingRequests(rng) }},
	{"bursts of engine crashes", func(w *soakWorld, rng *rand.Rand) { w.crashInBursts(rng) }},
}

// injectFaults draws faults from the first kinds entries of soakFaults until the soak's time
// is over, and waits until all are repaired.
func (w *soakWorld) injectFaults(kinds int) {
	rng := rand.New(rand.NewPCG(w.seed, 0))
	var faults sync.WaitGroup
	for time.Since(w.faultsStarted) < *soakTime {
		f := soakFaults[rng.IntN(kinds)]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
		faults.Go(func() {
			w.note("fault: %s", f.name)
			f.do(w, faultRNG)
			w.note("repaired: %s", f.name)
		})
		sleepBetween(rng, 100, 1300)
	}
	faults.Wait()
}

// sleepBetween sleeps for a random time in [least, most) milliseconds.
func sleepBetween(rng *rand.Rand, least, most int) {
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

// kill sends SIGKILL to a process and starts it again.
func (w *soakWorld) kill(rng *rand.Rand, m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("kill %s", m.name)
	m.process.kill()
	sleepBetween(rng, 100, 1500)
	w.startAgain(m)
}

func (w *soakWorld) killAll(rng *rand.Rand, instances []*soakInstance) {
	var all sync.WaitGroup
	for _, m := range instances {
		processRNG := rand.New(rand.NewPCG(rng.Uint64(), 3))
		all.Go(func() { w.kill(processRNG, m) })
	}
	all.Wait()
}

// startAgain starts a process that has exited.
func (w *soakWorld) startAgain(m *soakInstance) {
	m.logOffset = len(m.process.log.String())
	m.process.start()
}

// started reports whether the running process has logged its start, which it does once its
// signal handlers are installed.
func (m *soakInstance) started() bool {
	return strings.Contains(m.process.log.String()[m.logOffset:], "starting")
}

// killedByHangup is the exit state of a process that got SIGHUP before it handled signals.
const killedByHangup = "signal: hangup"

// awaitStarted waits until a process that got SIGHUP right after its start has started. It
// starts the process again if SIGHUP terminated it before its signal handlers were installed.
// Any other exit is a problem.
func (w *soakWorld) awaitStarted(m *soakInstance) {
	err := poll(func() error {
		if m.process.running() && !m.started() {
			return errors.New("neither started nor exited")
		}
		return nil
	})
	switch {
	case err != nil:
		w.record.problem("%s after SIGHUP: %v", m.name, err)
	case m.process.running():
	case m.started() || m.process.cmd.ProcessState.String() != killedByHangup:
		w.record.problem("%s has ended by itself: %s", m.name, m.process.exitReport())
		w.startAgain(m)
	default:
		w.note("%s was terminated by SIGHUP before it handled signals", m.name)
		w.startAgain(m)
	}
}

// terminate stops a process with SIGTERM and starts it again.
func (w *soakWorld) terminate(m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("terminate %s", m.name)
	started := m.started()
	if err := m.process.terminate(); err != nil {
		m.process.kill()
		// Before a program handles signals, SIGTERM terminates it without a drain.
		if started {
			w.record.problem("%v", err)
		}
	}
	w.startAgain(m)
}

// pause stops a process for a while with SIGSTOP.
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
			sleepBetween(rng, 200, 4000)
			continue
		}
		w.duties.tolerateLateCalls(m.name)
	}
}

// hangUp switches a process to its instance's other link to the store, with SIGHUP.
func (w *soakWorld) hangUp(m *soakInstance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w.note("hang up %s", m.name)
	m.activeStoreLink = 1 - m.activeStoreLink
	w.writeSettings(m)
	started := m.started()
	if err := m.process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		w.record.problem("%s has ended by itself: %v", m.name, err)
	}
	if !started {
		w.awaitStarted(m)
	}
}

func (w *soakWorld) storeOutage(rng *rand.Rand) {
	modes := []storeMode{storeLimited, storeRefuses, storeHangs, storeResets}
	mode := modes[rng.IntN(len(modes))]
	w.note("store mode %d", mode)
	w.store.set(mode)
	sleepBetween(rng, 300, 4000)
	w.store.set(storeServes)
}

// loseAnswers makes the outcomes of the next writes unknown to the writers.
func (w *soakWorld) loseAnswers(rng *rand.Rand) {
	outcomes := []rowstore.Outcome{rowstore.Refused, rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late}
	for range 3 + rng.IntN(6) {
		w.store.rows.QueueOutcomes(outcomes[rng.IntN(len(outcomes))])
	}
}

// disruptLinks injects one kind of network fault into links for a while, then restores them.
func disruptLinks(rng *rand.Rand, links ...*link) {
	states := []linkState{
		{delay: time.Duration(20+rng.IntN(300)) * time.Millisecond}, {cutUp: true}, {cutDown: true},
		{cutUp: true, cutDown: true}, {refuse: true},
	}
	choice := rng.IntN(len(states) + 2)
	for _, k := range links {
		switch choice {
		case len(states):
			k.silence()
		case len(states) + 1:
			k.reset()
		default:
			k.set(states[choice])
		}
	}
	sleepBetween(rng, 200, 3000)
	for _, k := range links {
		k.set(linkState{})
	}
}

// crashEngine crashes an engine and starts it again, unless another fault holds it.
func (w *soakWorld) crashEngine(rng *rand.Rand, e *soakEngine) {
	if !e.faultLock.TryLock() {
		return
	}
	defer e.faultLock.Unlock()
	e.crash()
	sleepBetween(rng, 300, 2000)
	w.startEngineAgain(e)
}

// restartSameID crashes an engine and restarts it with its id, unless another fault holds it.
func (w *soakWorld) restartSameID(rng *rand.Rand, e *soakEngine) {
	if !e.faultLock.TryLock() {
		return
	}
	defer e.faultLock.Unlock()
	downtime := time.Duration(rng.IntN(1000)) * time.Millisecond
	if err := e.restartSameID(rng.IntN(2) == 0, downtime); err != nil {
		w.record.problem("engine at %s: %v", e.listen, err)
	}
}

func (w *soakWorld) shutDownEngine(rng *rand.Rand, e *soakEngine) {
	if !e.faultLock.TryLock() {
		return
	}
	defer e.faultLock.Unlock()
	e.shutDown()
	sleepBetween(rng, 300, 1500)
	w.startEngineAgain(e)
}

func (w *soakWorld) startEngineAgain(e *soakEngine) {
	if err := e.start(false); err != nil {
		w.record.problem("engine at %s: %v", e.listen, err)
	}
}
