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

// platform is a stand-in of the platform's duty calls which judges them as the
// platform's rules do. All windows are one subject.
type platform struct {
	mu         sync.Mutex
	violations []string
	counts     map[uint64]string // by piece
	tokens     map[uint64]string // machine by token
	highest    uint64
	acts       []act
	accepted   map[uint64]time.Time
	// outcomes are of the next calls; those after them are accepted and answered.
	outcomes []outcome
}

type act struct {
	machine string
	at      time.Time
}

type outcome int

const (
	answered  outcome = iota
	unheard           // accepted, the answer is lost
	tooMany           // answered with a refusal
	neverSeen         // lost on the way
)

func newPlatform() *platform {
	return &platform{counts: map[uint64]string{}, tokens: map[uint64]string{}, accepted: map[uint64]time.Time{}}
}

func (p *platform) broken(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// call is one call as it arrives.
func (p *platform) call(machine string, token, piece uint64, counts string) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := answered
	if len(p.outcomes) > 0 {
		result, p.outcomes = p.outcomes[0], p.outcomes[1:]
	}
	if result == neverSeen {
		return result
	}
	now := time.Now()
	if had, ok := p.tokens[token]; ok && had != machine {
		p.broken("token %d by %s and %s", token, had, machine)
	}
	p.tokens[token] = machine
	if token < p.highest {
		p.broken("token %d after %d, by %s", token, p.highest, machine)
	}
	p.highest = max(p.highest, token)
	p.takeTurn(act{machine, now})
	if result == tooMany {
		return result
	}
	if had, ok := p.counts[piece]; ok && had != counts {
		p.broken("piece %d with %q and %q", piece, had, counts)
	}
	p.counts[piece] = counts
	if _, ok := p.accepted[piece]; !ok {
		p.accepted[piece] = now
	}
	return result
}

// takeTurn finds holders that act in the order A, B, A within the lease.
func (p *platform) takeTurn(a act) {
	p.acts = append(p.acts, a)
	other := false
	for i := len(p.acts) - 2; i >= 0 && a.at.Sub(p.acts[i].at) < testLease; i-- {
		if p.acts[i].machine != a.machine {
			other = true
			continue
		}
		if other {
			p.broken("%s acts before and after another within %s", a.machine, a.at.Sub(p.acts[i].at))
		}
		return
	}
}

// machine is one that may hold the duty. It can stand still, lose its path to the
// store and the platform, and be killed.
type machine struct {
	name  string
	world *world

	mu     sync.Mutex
	frozen time.Time // until when
	cut    time.Time // until when
	stop   context.CancelFunc
	done   chan struct{}
}

// world is a store, a platform and machines.
type world struct {
	store    *rowstore.Store
	platform *platform
	machines []*machine
	keep     bool
	mutation mutation
	decided  uint64
	calls    int // to the store
	mu       sync.Mutex
	// trapped is how long the next machine that writes to the store stands still as
	// the answer is on its way to it.
	trapped time.Duration
}

func (w *world) count() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
}

// trap is how long the machine that has just written stands still.
func (w *world) trap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.trapped
	w.trapped = 0
	return d
}

// mutation takes out one mechanism.
type mutation int

const (
	whole mutation = iota
	withoutFence
	withoutTerm
	withoutDecision
)

func newWorld(n int, keep bool, m mutation) *world {
	w := &world{store: rowstore.New(), platform: newPlatform(), keep: keep, mutation: m}
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
		Order: &CandidateOrder{Self: m.name, Others: m.world.names, PreferHolder: m.world.keep},
		Work:  machineWork{m}, Log: observe.Discard(), Counters: observe.NewCounters(),
	}
	go func() {
		defer close(done)
		_ = p.Run(ctx) // ends with its context only, which the tests of the chart see to
	}()
}

// kill ends the machine's process at once.
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
	if until := time.Now().Add(d); until.After(m.frozen) {
		m.frozen = until
	}
}

func (m *machine) cutOff(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = time.Now().Add(d)
}

// thaw waits while the machine stands still.
func (m *machine) thaw(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		left := time.Until(m.frozen)
		m.mu.Unlock()
		if left <= 0 {
			return
		}
		_ = pause.Sleep(ctx, left)
	}
}

func (m *machine) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.cut)
}

// machineRows are the store as the machine reaches it. It may stand still before
// a call and before it hears of the answer.
type machineRows struct{ *machine }

func (r machineRows) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	r.world.count()
	r.thaw(ctx)
	if r.isCut() {
		return store.Snapshot{}, store.ErrUnknown
	}
	s, err := r.world.store.Commit(ctx, tx)
	if err == nil {
		r.freeze(r.world.trap())
	}
	_ = pause.Sleep(ctx, 8*time.Millisecond)
	r.thaw(ctx)
	return s, err
}

func (r machineRows) List(ctx context.Context, g store.Range) (store.Snapshot, error) {
	r.world.count()
	r.thaw(ctx)
	if r.isCut() {
		return store.Snapshot{}, store.ErrRefused
	}
	s, err := r.world.store.List(ctx, g)
	_ = pause.Sleep(ctx, 4*time.Millisecond)
	r.thaw(ctx)
	return s, err
}

func (r machineRows) Feed(context.Context, string, uint64, time.Duration) (store.Snapshot, error) {
	return store.Snapshot{}, store.ErrInvalid
}

// clockError is how far each bound is from the store's clock.
const clockError = 90 * time.Millisecond

type machineClock struct{ *machine }

func (c machineClock) Bounds() (earliest, latest time.Duration, ok bool) {
	now, _ := c.world.store.Now()
	if c.world.mutation == withoutTerm {
		return now + time.Hour, 0, true
	}
	return now - clockError, now + clockError, true
}

// machineWork has windows as pieces. Each decision is another one.
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

// Decide gives the piece and a number that no other decision has.
func (w machineWork) Decide(_ context.Context, piece uint64, _ []byte) ([]byte, error) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	w.world.decided++
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, piece), w.world.decided), nil
}

func (w machineWork) OnDone(context.Context, uint64) {}

func (w machineWork) Send(ctx context.Context, f Fence, acting func() bool, work []byte) error {
	w.thaw(ctx)
	if !acting() {
		return errors.New("the term is over")
	}
	if w.isCut() {
		_ = pause.Sleep(ctx, 700*time.Millisecond)
		return errors.New("no path")
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
		w.thaw(ctx)
		return nil
	case tooMany:
		return errors.New("too many calls")
	}
	_ = pause.Sleep(ctx, 700*time.Millisecond)
	w.thaw(ctx)
	return errors.New("no answer")
}
