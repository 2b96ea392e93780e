package rollout

import (
	"context"
	"sync"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/attempt"
	"mulberryscale.example/generation"
	"mulberryscale.example/membership"
	"mulberryscale.example/wire"
)

// leg is one run of a sample at one agent. A sample that is moved has two legs
// for a moment; each keeps its own text.
type leg struct {
	agent  *membership.Agent
	cancel context.CancelFunc
	// producing is closed at the first chunk, ended at the end.
	producing chan struct{}
	ended     chan struct{}

	mu       sync.Mutex
	progress generation.Progress
	begun    time.Time // time of the first chunk, zero before
	// own counts the tokens generated in this leg.
	own int
	// mark is where the window of the pace began.
	mark      paceMark
	lastPace  float64
	paceKnown bool

	// done and refusal are set once ended is closed.
	done    *wire.Done
	refusal *api.Refusal
}

// startLeg sends a run and returns at once; started is called at its first chunk.
func (t *task) startLeg(ctx context.Context, a *membership.Agent, run *wire.Run, from generation.Progress, started func()) *leg {
	ctx, cancel := context.WithCancel(ctx)
	l := &leg{
		agent: a, cancel: cancel, progress: from,
		producing: make(chan struct{}), ended: make(chan struct{}),
	}
	produce := sync.OnceFunc(func() {
		started()
		close(l.producing)
	})
	go func() {
		defer close(l.ended)
		defer cancel()
		done, err := t.s.Client.Run(ctx, a, run, func(c *wire.Chunk) {
			l.add(c, time.Now())
			produce()
		})
		if err != nil {
			l.refusal = attempt.AsRefusal(err, StepSample, a.ID)
			return
		}
		l.done = done
	}()
	return l
}

func (l *leg) add(c *wire.Chunk, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begun.IsZero() {
		l.begun = now
	}
	before := l.progress.Tokens()
	l.progress.Add(c)
	if !c.Whole {
		l.own += l.progress.Tokens() - before
	}
}

// text is a copy of what the leg has so far.
func (l *leg) text() generation.Progress {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Clone()
}

// tokens counts all of the sample's text so far.
func (l *leg) tokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.progress.Tokens()
}

// pace is the leg's tokens a second over the last paceWindow or somewhat more;
// it is not known while the leg is younger. Only the step's watch calls it.
func (l *leg) pace(now time.Time) (perSecond float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.begun.IsZero() {
		return 0, false
	}
	if l.mark.at.IsZero() {
		l.mark = paceMark{at: l.begun}
	}
	window := now.Sub(l.mark.at)
	if window >= paceWindow {
		l.lastPace = float64(l.own-l.mark.own) / window.Seconds()
		l.paceKnown = true
		l.mark = paceMark{at: now, own: l.own}
	}
	return l.lastPace, l.paceKnown
}

// paceMark is how many tokens a leg had generated at a time.
type paceMark struct {
	at  time.Time
	own int
}

// stop ends the leg and waits for it.
func (l *leg) stop() {
	l.cancel()
	<-l.ended
}

// failed says whether the leg has ended without a result.
func (l *leg) failed() bool {
	select {
	case <-l.ended:
		return l.refusal != nil
	default:
		return false
	}
}
