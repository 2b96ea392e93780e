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

// State is what a performer does; Trigger is why that changes.
type (
	State   string
	Trigger string
)

// States and triggers of term.yaml, which says what each means.
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

// Work is what a duty consists of: pieces with growing numbers.
type Work interface {
	// Next is the first piece after one that is done, and when it is due; found is
	// false if none is done yet.
	Next(done uint64, found bool) (piece uint64, due time.Time)
	// NextDue is the first piece that falls due after a moment, and when.
	NextDue(after time.Time) (piece uint64, due time.Time)
	// Decide says what is to be sent for a piece, given the work of the last one that
	// was decided, nil if none was. nil means that there is nothing to do for it.
	Decide(ctx context.Context, piece uint64, last []byte) ([]byte, error)
	// Send sends what was decided, once, unless acting says that it may not be sent
	// any more. nil means that it was accepted.
	Send(ctx context.Context, f Fence, acting func() bool, work []byte) error
	// OnDone hears that a piece was recorded as done by this process.
	OnDone(ctx context.Context, piece uint64)
}

// Pauses of a performer.
const (
	// missPause is the pause after a call to the store that failed.
	missPause = 300 * time.Millisecond
	// sendPause is the pause before the work is sent again.
	sendPause = 100 * time.Millisecond
	// takenSlack is added to the time until the former holder can no longer act, so
	// that few of those that wait for it ask too early.
	takenSlack = 50 * time.Millisecond
)

// Performer does the work of one duty when it is this process's turn.
type Performer struct {
	Terms    *TermStore
	Order    *CandidateOrder
	Work     Work
	Log      logrus.FieldLogger
	Counters *observe.Counters

	machine *chart.Machine[State, Trigger]
	read    StoredTerm
	held    *HeldTerm
	piece   uint64
	// holder says that this process did the last piece that it knows of.
	holder bool
	// again is when to look once more whoever's turn it is; zero is not.
	again time.Time
}

// Run works until ctx ends.
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

// step does what the state asks for and says what came of it.
func (p *Performer) step(ctx context.Context) Trigger {
	switch p.machine.State() {
	case StateWaiting:
		return p.wait(ctx)
	case StateReading:
		return p.look(ctx)
	case StateClaiming:
		return p.claim(ctx)
	case StateActing:
		return p.act(ctx)
	default:
		return p.record(ctx)
	}
}

// wait sleeps until this process should look after a piece.
func (p *Performer) wait(ctx context.Context) Trigger {
	now := time.Now()
	at := p.nextTurn(now)
	if !p.again.IsZero() && p.again.Before(at) {
		at = p.again
	}
	p.again = time.Time{}
	_ = pause.Sleep(ctx, at.Sub(now)) // the end of ctx is looked at next
	return triggerDue
}

// nextTurn is when this process's next turn comes.
func (p *Performer) nextTurn(now time.Time) time.Time {
	after := now.Add(-time.Duration(p.Order.lookers()) * turnStep) // of these pieces a turn may still come
	for {
		piece, due := p.Work.NextDue(after)
		if delay, mine := p.Order.Delay(piece, p.holder); mine && due.Add(delay).After(now) {
			return due.Add(delay)
		}
		if due.Sub(now) > farAhead {
			return due
		}
		after = due
	}
}

// farAhead bounds the search for a turn: then it looks again which it has.
const farAhead = 10 * time.Minute

// look reads the term and says whether work is open.
func (p *Performer) look(ctx context.Context) Trigger {
	r, err := p.Terms.Read(ctx)
	if err != nil {
		return p.miss(err, "duty's term not read")
	}
	p.read, p.holder = r, r.Found && r.Machine == p.Terms.Machine
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
		return p.miss(err, "duty's term not judged")
	}
	if wait > 0 {
		p.again = time.Now().Add(wait + takenSlack)
		return triggerTaken
	}
	return triggerOpen
}

// claim decides the work, unless a former holder did, and begins a term.
func (p *Performer) claim(ctx context.Context) Trigger {
	work := p.read.Work
	if !p.read.Found || p.read.Done {
		decided, err := p.Work.Decide(ctx, p.piece, p.read.Work)
		if err != nil {
			return p.miss(err, "duty's work not decided")
		}
		if decided == nil {
			return triggerSettled
		}
		work = decided
	}
	held, err := p.Terms.Claim(ctx, p.read, p.piece, work)
	if errors.Is(err, ErrTaken) {
		p.again = time.Now().Add(missPause)
		return triggerMissed
	}
	if err != nil {
		return p.miss(err, "duty not claimed")
	}
	p.held = held
	p.log().Info("duty claimed")
	return triggerClaimed
}

// act sends the work.
func (p *Performer) act(ctx context.Context) Trigger {
	if !p.held.MaySend() {
		p.log().Warn("duty's term is over with its work unsettled")
		p.again = time.Now()
		return triggerExpired
	}
	if err := p.Work.Send(ctx, p.held.Fence, p.held.MaySend, p.held.Work); err != nil {
		p.log().WithError(err).Warn("duty's work not accepted yet")
		p.Counters.Retry(p.Terms.Subject, reasonNotAccepted)
		_ = pause.Sleep(ctx, sendPause) // the end of ctx is looked at next
		return triggerUnsettled
	}
	return triggerAccepted
}

// reasonNotAccepted counts sends of a duty's work that were not accepted.
const reasonNotAccepted = "duty_not_accepted"

// record writes that the work is done. If that fails, whoever looks next sends it
// once more as it was, which changes nothing.
func (p *Performer) record(ctx context.Context) Trigger {
	if err := p.held.RecordDone(ctx); err != nil {
		return p.miss(err, "duty's work not recorded as done")
	}
	p.log().Info("duty's work done")
	p.Work.OnDone(ctx, p.held.Piece)
	return triggerRecorded
}

// miss logs a failure and has the term looked at again soon.
func (p *Performer) miss(err error, what string) Trigger {
	p.Log.WithError(err).WithField("duty", p.Terms.Subject).Warn(what)
	p.again = time.Now().Add(missPause)
	return triggerMissed
}

func (p *Performer) log() logrus.FieldLogger {
	return p.Log.WithFields(logrus.Fields{
		"duty": p.Terms.Subject, "piece": p.held.Piece, "token": p.held.Fence.Token, "began_ms": p.held.Began.Milliseconds(),
	})
}
