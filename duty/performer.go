package duty

import (
	"context"
	"embed"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/chart"
	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
)

// State is a state of a Performer; Trigger is the cause of a transition.
type (
	State   string
	Trigger string
)

// States and triggers of the state chart term.yaml, which explains them.
const (
	StateWaiting   State = "waiting"
	StateReading   State = "reading"
	StateClaiming  State = "claiming"
	StateActing    State = "acting"
	StateRecording State = "recording"

	triggerDue       Trigger = "due"
	triggerOpen      Trigger = "open"
	triggerTaken     Trigger = "taken"
	triggerSettled   Trigger = "settled"
	triggerClaimed   Trigger = "claimed"
	triggerMissed    Trigger = "missed"
	triggerAccepted  Trigger = "accepted"
	triggerUnsettled Trigger = "unsettled"
	triggerExpired   Trigger = "expired"
	triggerRecorded  Trigger = "recorded"
)

//go:embed term.yaml
var charts embed.FS

var termChart = chart.MustLoad(charts, "term.yaml",
	[]State{StateWaiting, StateReading, StateClaiming, StateActing, StateRecording},
	[]Trigger{
		triggerDue, triggerOpen, triggerTaken, triggerSettled, triggerClaimed, triggerMissed, triggerAccepted,
		triggerUnsettled, triggerExpired, triggerRecorded,
	})

// Work is the work of a duty: pieces with increasing numbers.
type Work interface {
	// Next returns the first piece to do after the last one that is done, and when it is due.
	// found is false if none is done yet.
	Next(done uint64, found bool) (piece uint64, due time.Time)
	// NextDue returns the first piece that is due after the given time, and when it is due.
	NextDue(after time.Time) (piece uint64, due time.Time)
	// Decide returns the work to send for a piece, or nil if there is nothing to do for it.
	// last is the decided work of the last piece, nil if there was none.
	Decide(ctx context.Context, piece uint64, last []byte) ([]byte, error)
	// Send sends the decided work once, unless maySend returns false at the moment of sending.
	// It returns nil if the work was accepted.
	Send(ctx context.Context, f Fence, maySend func() bool, work []byte) error
	// OnDone is called after this process has recorded a piece as done.
	OnDone(ctx context.Context, piece uint64)
}

// Pauses of a Performer.
const (
	// storeRetryPause is the pause after a failed call to the store.
	storeRetryPause = 300 * time.Millisecond
	// resendPause is the pause before the work is resent.
	resendPause = 100 * time.Millisecond
	// takenMargin is added to the time until another holder can no longer send, so that few of
	// the waiting processes read the term too early.
	takenMargin = 50 * time.Millisecond
)

// Performer does the work of one duty whenever this process gets to claim a piece.
type Performer struct {
	Terms    *TermStore
	Order    *CandidateOrder
	Work     Work
	Log      logrus.FieldLogger
	Counters *observe.Counters

	machine *chart.Machine[State, Trigger]
	stored  StoredTerm
	held    *HeldTerm
	piece   uint64
	// wasHolder is true if this process did the last piece known to it.
	wasHolder bool
	// retryAt is when to read the term again even if this process is no candidate; zero if not
	// set.
	retryAt time.Time
}

// Run does the work until ctx is cancelled. It returns the cause of the cancellation, or an error
// of the state chart.
func (p *Performer) Run(ctx context.Context) error {
	machine, err := termChart.NewMachine(nil)
	if err != nil {
		return err
	}
	p.machine = machine
	for ctx.Err() == nil {
		trigger := p.step(ctx)
		if ctx.Err() != nil {
			break
		}
		if err := p.machine.Fire(trigger); err != nil {
			return err
		}
	}
	return context.Cause(ctx)
}

// step runs the action of the current state and returns the resulting trigger.
func (p *Performer) step(ctx context.Context) Trigger {
	switch p.machine.State() {
	case StateWaiting:
		return p.wait(ctx)
	case StateReading:
		return p.readTerm(ctx)
	case StateClaiming:
		return p.claim(ctx)
	case StateActing:
		return p.send(ctx)
	default:
		return p.record(ctx)
	}
}

// wait sleeps until this process should read the term.
func (p *Performer) wait(ctx context.Context) Trigger {
	now := time.Now()
	at := p.nextRead(now)
	if !p.retryAt.IsZero() && p.retryAt.Before(at) {
		at = p.retryAt
	}
	p.retryAt = time.Time{}
	_ = pause.Sleep(ctx, at.Sub(now)) // Run checks ctx next
	return triggerDue
}

// nextRead returns when this process is next a candidate for a piece.
func (p *Performer) nextRead(now time.Time) time.Time {
	// Pieces that were due after this may still have candidates that wait.
	after := now.Add(-time.Duration(p.Order.candidates()) * candidateStep)
	for {
		piece, due := p.Work.NextDue(after)
		if delay, ok := p.Order.Delay(piece, p.wasHolder); ok && due.Add(delay).After(now) {
			return due.Add(delay)
		}
		if due.Sub(now) > maxLookahead {
			return due
		}
		after = due
	}
}

// maxLookahead bounds the search for a piece with this process as a candidate. After that time
// the search starts again.
const maxLookahead = 10 * time.Minute

// readTerm reads the term and returns whether there is work that this process may claim.
func (p *Performer) readTerm(ctx context.Context) Trigger {
	r, err := p.Terms.Read(ctx)
	if err != nil {
		return p.fail(err, "duty's term not read")
	}
	p.stored, p.wasHolder = r, r.Found && r.Machine == p.Terms.Machine
	p.piece = r.Piece
	if !r.Found || r.Done {
		piece, due := p.Work.Next(r.Piece, r.Found)
		if due.After(time.Now()) {
			return triggerSettled
		}
		p.piece = piece
	}
	wait, err := p.Terms.Wait(r)
	if err != nil {
		return p.fail(err, "duty's term not checked against the store's clock")
	}
	if wait > 0 {
		p.retryAt = time.Now().Add(wait + takenMargin)
		return triggerTaken
	}
	return triggerOpen
}

// claim begins a term. Its work is that of the former holder if it is not done yet; otherwise claim
// decides new work.
func (p *Performer) claim(ctx context.Context) Trigger {
	work := p.stored.Work
	if !p.stored.Found || p.stored.Done {
		decided, err := p.Work.Decide(ctx, p.piece, p.stored.Work)
		if err != nil {
			return p.fail(err, "duty's work not decided")
		}
		if decided == nil {
			return triggerSettled
		}
		work = decided
	}
	held, err := p.Terms.Claim(ctx, p.stored, p.piece, work)
	if errors.Is(err, ErrTaken) {
		p.retryAt = time.Now().Add(storeRetryPause)
		return triggerMissed
	}
	if err != nil {
		return p.fail(err, "duty not claimed")
	}
	p.held = held
	p.log().Info("duty claimed")
	return triggerClaimed
}

// send sends the work unless the term is over.
func (p *Performer) send(ctx context.Context) Trigger {
	if !p.held.MaySend() {
		p.log().Warn("duty's term is over and its work not accepted")
		p.retryAt = time.Now()
		return triggerExpired
	}
	if err := p.Work.Send(ctx, p.held.Fence, p.held.MaySend, p.held.Work); err != nil {
		p.log().WithError(err).Warn("duty's work not accepted yet")
		p.Counters.Retry(p.Terms.Subject, reasonNotAccepted)
		_ = pause.Sleep(ctx, resendPause) // Run checks ctx next
		return triggerUnsettled
	}
	return triggerAccepted
}

// reasonNotAccepted is the retry reason for a duty's work that was not accepted.
const reasonNotAccepted = "duty_not_accepted"

// record records that the work is done. If that fails, the next process that reads the term sends
// the same work again, which is idempotent.
func (p *Performer) record(ctx context.Context) Trigger {
	if err := p.held.RecordDone(ctx); err != nil {
		return p.fail(err, "duty's work not recorded as done")
	}
	p.log().Info("duty's work done")
	p.Work.OnDone(ctx, p.held.Piece)
	return triggerRecorded
}

// fail logs a failure and schedules another read of the term.
func (p *Performer) fail(err error, msg string) Trigger {
	p.Log.WithError(err).WithField("duty", p.Terms.Subject).Warn(msg)
	p.retryAt = time.Now().Add(storeRetryPause)
	return triggerMissed
}

func (p *Performer) log() logrus.FieldLogger {
	return p.Log.WithFields(logrus.Fields{
		"duty": p.Terms.Subject, "piece": p.held.Piece, "token": p.held.Fence.Token, "began_ms": p.held.Began.Milliseconds(),
	})
}
