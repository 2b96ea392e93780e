package duty

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

const (
	testLease  = 3 * time.Second
	testWindow = 5 * time.Second
	testDelay  = 4500 * time.Millisecond
)

// fakePlatform is a fake of the platform that receives the calls of a duty and checks them
// against the platform's rules. All windows belong to one subject.
type fakePlatform struct {
	mu         sync.Mutex
	violations []string
	counts     map[uint64]string // by piece
	tokens     map[uint64]string // machine by token
	highest    uint64
	calls      []platformCall
	accepted   map[uint64]time.Time
	// outcomes are those of the next calls. Later calls are accepted and answered.
	outcomes []outcome
}

type platformCall struct {
	machine string
	at      time.Time
}

type outcome int

const (
	answered    outcome = iota
	answerLost          // accepted, but the answer is lost
	refused             // answered with a refusal
	requestLost         // the call is lost before it arrives
)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{counts: map[uint64]string{}, tokens: map[uint64]string{}, accepted: map[uint64]time.Time{}}
}

func (p *fakePlatform) violation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// call handles a call.
func (p *fakePlatform) call(machine string, token, piece uint64, counts string) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := answered
	if len(p.outcomes) > 0 {
		result, p.outcomes = p.outcomes[0], p.outcomes[1:]
	}
	if result == requestLost {
		return result
	}
	now := time.Now()
	if former, ok := p.tokens[token]; ok && former != machine {
		p.violation("token %d by %s and %s", token, former, machine)
	}
	p.tokens[token] = machine
	if token < p.highest {
		p.violation("token %d after %d, by %s", token, p.highest, machine)
	}
	p.highest = max(p.highest, token)
	p.checkAlternation(platformCall{machine, now})
	if result == refused {
		return result
	}
	if former, ok := p.counts[piece]; ok && former != counts {
		p.violation("piece %d with %q and %q", piece, former, counts)
	}
	p.counts[piece] = counts
	if _, ok := p.accepted[piece]; !ok {
		p.accepted[piece] = now
	}
	return result
}

// checkAlternation detects holders that call in the order A, B, A within the lease.
func (p *fakePlatform) checkAlternation(c platformCall) {
	p.calls = append(p.calls, c)
	other := false
	for i := len(p.calls) - 2; i >= 0 && c.at.Sub(p.calls[i].at) < testLease; i-- {
		if p.calls[i].machine != c.machine {
			other = true
			continue
		}
		if other {
			p.violation("%s called before and after another machine within %s", c.machine, c.at.Sub(p.calls[i].at))
		}
		return
	}
}

// machine is a machine that may hold the duty. It can be frozen, partitioned from the store and the
// platform, and killed.
type machine struct {
	name  string
	world *world

	mu               sync.Mutex
	frozenUntil      time.Time
	partitionedUntil time.Time
	stop             context.CancelFunc
	done             chan struct{}
}

// world is a simulation of a store, a platform and machines.
type world struct {
	store        *rowstore.Store
	platform     *fakePlatform
	machines     []*machine
	preferHolder bool
	mutation     mutation
	decisions    uint64
	storeCalls   int
	mu           sync.Mutex
	// freezeAfterWrite is how long the next machine that writes to the store is frozen before
	// it receives the answer; 0 for not at all.
	freezeAfterWrite time.Duration
}

func (w *world) countCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCalls++
}

// takeFreeze returns and resets freezeAfterWrite.
func (w *world) takeFreeze() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.freezeAfterWrite
	w.freezeAfterWrite = 0
	return d
}

// mutation is a mechanism that is disabled.
type mutation int

const (
	noMutation mutation = iota
	withoutFence
	withoutTerm
	withoutDecision
)

func newWorld(n int, preferHolder bool, m mutation) *world {
	w := &world{store: rowstore.New(), platform: newFakePlatform(), preferHolder: preferHolder, mutation: m}
	for i := range n {
		w.machines = append(w.machines, &machine{name: fmt.Sprint("m", i), world: w})
	}
	return w
}

func (w *world) names() []string {
	var names []string
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	return names
}

// start starts the machine's process.
func (m *machine) start() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.mu.Lock()
	m.stop, m.done = stop, done
	m.mu.Unlock()
	p := &Performer{
		Terms: &TermStore{Rows: machineRows{m}, Clock: machineClock{m}, Subject: "usage", Machine: m.name, Name: m.name, Lease: testLease},
		Order: &CandidateOrder{Self: m.name, Others: m.world.names, PreferHolder: m.world.preferHolder},
		Work:  machineWork{m}, Log: observe.Discard(), Counters: observe.NewCounters(),
	}
	go func() {
		defer close(done)
		_ = p.Run(ctx) // returns only when ctx is cancelled, as the tests of the state chart check
	}()
}

// kill stops the machine's process at once and waits until it has stopped.
func (m *machine) kill() {
	m.mu.Lock()
	stop, done := m.stop, m.done
	m.mu.Unlock()
	stop()
	<-done
}

func (m *machine) freeze(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := time.Now().Add(d); until.After(m.frozenUntil) {
		m.frozenUntil = until
	}
}

func (m *machine) partition(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitionedUntil = time.Now().Add(d)
}

// awaitThaw waits while the machine is frozen.
func (m *machine) awaitThaw(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		left := time.Until(m.frozenUntil)
		m.mu.Unlock()
		if left <= 0 {
			return
		}
		_ = pause.Sleep(ctx, left)
	}
}

func (m *machine) isPartitioned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.partitionedUntil)
}

// machineRows is the machine's client of the store. The machine may be frozen before a call and
// before it receives the answer.
type machineRows struct{ *machine }

func (r machineRows) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	r.world.countCall()
	r.awaitThaw(ctx)
	if r.isPartitioned() {
		return store.Snapshot{}, store.ErrUnknown
	}
	s, err := r.world.store.Commit(ctx, tx)
	if err == nil {
		r.freeze(r.world.takeFreeze())
	}
	_ = pause.Sleep(ctx, 8*time.Millisecond)
	r.awaitThaw(ctx)
	return s, err
}

func (r machineRows) List(ctx context.Context, g store.Range) (store.Snapshot, error) {
	r.world.countCall()
	r.awaitThaw(ctx)
	if r.isPartitioned() {
		return store.Snapshot{}, store.ErrRefused
	}
	s, err := r.world.store.List(ctx, g)
	_ = pause.Sleep(ctx, 4*time.Millisecond)
	r.awaitThaw(ctx)
	return s, err
}

func (r machineRows) Feed(context.Context, string, uint64, time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, store.ErrInvalid
}

// clockError is the distance of each bound from the store's clock.
const clockError = 90 * time.Millisecond

type machineClock struct{ *machine }

func (c machineClock) Bounds() (earliest, latest time.Duration, ok bool) {
	now, _ := c.world.store.Now()
	if c.world.mutation == withoutTerm {
		return now + time.Hour, 0, true
	}
	return now - clockError, now + clockError, true
}

// machineWork is work whose pieces are windows. No two decisions are equal.
type machineWork struct{ *machine }

func dueOf(piece uint64) time.Time {
	return time.Unix(0, int64(piece+1)*int64(testWindow)).Add(testDelay)
}

func pieceAt(at time.Time) uint64 { return uint64(at.UnixNano() / int64(testWindow)) }

func (w machineWork) Next(done uint64, found bool) (uint64, time.Time) {
	piece := done + 1
	if !found {
		piece = pieceAt(time.Now().Add(-testDelay)) - 1
	}
	return piece, dueOf(piece)
}

func (w machineWork) NextDue(after time.Time) (uint64, time.Time) {
	piece := pieceAt(after.Add(-testDelay))
	return piece, dueOf(piece)
}

// Decide returns the piece and the number of the decision.
func (w machineWork) Decide(_ context.Context, piece uint64, _ []byte) ([]byte, error) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.world.decisions++
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, piece), w.world.decisions), nil
}

func (w machineWork) OnDone(context.Context, uint64) {}

func (w machineWork) Send(ctx context.Context, f Fence, maySend func() bool, work []byte) error {
	w.awaitThaw(ctx)
	if !maySend() {
		return errors.New("the term is over")
	}
	if w.isPartitioned() {
		_ = pause.Sleep(ctx, 700*time.Millisecond)
		return errors.New("partitioned")
	}
	piece := binary.BigEndian.Uint64(work)
	if w.world.mutation == withoutDecision {
		work, _ = w.Decide(ctx, piece, nil) // it never fails
	}
	token := f.Token
	if w.world.mutation == withoutFence {
		token = 1
	}
	result := w.world.platform.call(w.name, token, piece, string(work))
	switch result {
	case answered:
		_ = pause.Sleep(ctx, 4*time.Millisecond)
		w.awaitThaw(ctx)
		return nil
	case refused:
		return errors.New("too many calls")
	}
	_ = pause.Sleep(ctx, 700*time.Millisecond)
	w.awaitThaw(ctx)
	return errors.New("no answer")
}
