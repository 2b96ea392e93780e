package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"mulberryscale.example/pace"
)

// eventGap is the time between two events of the fake engines.
const eventGap = 40 * time.Millisecond

// fakeEngines stands in for all engines of a rig, by address.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	lengths map[string]int // number of events of an item, by id; 10 by default
	// runs are all runs that were started, in order.
	runs []fakeRun
	// open counts the open runs of each item; doubled are the items that ran at two engines at once.
	open    map[string]int
	doubled map[string]bool
	// crashesLeft is, by item id, how many engines still crash while they run the item.
	crashesLeft map[string]int
}

type fakeRun struct {
	engine, item string
	lastEventID  int
	at           time.Time
	organisation string
}

type fakeEngine struct {
	startedAt int64
	version   uint64
	sequence  uint64
	slowdown  float64 // factor of eventGap; below 1 counts as 1
	// paceAt is the pace by time; nil stands for the usual one. It is reported if reportsPace is set.
	paceAt       func(time.Time) int
	reportsPace  bool
	down         bool
	unresponsive bool
	// startErrors are the errors of the next runs of an item, by its id.
	startErrors map[string][]error
	// breakAfter is, by item id, the number of events after which the item's next run
	// breaks off.
	breakAfter    map[string]int
	orders        []Order
	loseNextOrder bool
	ignoreOrders  bool // orders are accepted and not carried out
	refused       int  // runs that were sent while it was down
	openStreams   int  // runs that have not been closed
	// stalledItems are items whose runs get no events, though reports are answered.
	stalledItems map[string]bool
}

func (f *fakeEngines) Start(ctx context.Context, r Run) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[r.Addr]
	if e.down {
		e.refused++
		return nil, fmt.Errorf("%w: down", ErrUnreachable)
	}
	if list := e.startErrors[r.Item.ID]; len(list) > 0 {
		e.startErrors[r.Item.ID] = list[1:]
		return nil, list[0]
	}
	f.runs = append(f.runs, fakeRun{r.Addr, r.Item.ID, r.LastEventID, time.Now(), r.Organisation})
	length := 10
	if n, ok := f.lengths[r.Item.ID]; ok {
		length = n
	}
	if f.crashesLeft[r.Item.ID] > 0 {
		f.crashesLeft[r.Item.ID]--
		length = f.crashSoon(e)
	}
	e.openStreams++
	f.open[r.Item.ID]++
	if f.open[r.Item.ID] > 1 {
		f.doubled[r.Item.ID] = true
	}
	reported := 0
	if e.reportsPace {
		reported = e.paceNow()
	}
	s := &fakeStream{pace: reported, ctx: ctx, f: f, e: e, item: r.Item.ID, next: r.LastEventID + 1, length: length, eventsUntilBreak: -1, engineStartedAt: e.startedAt}
	if n, ok := e.breakAfter[r.Item.ID]; ok {
		s.eventsUntilBreak = n
		delete(e.breakAfter, r.Item.ID)
	}
	return s, nil
}

type fakeStream struct {
	ctx              context.Context
	f                *fakeEngines
	e                *fakeEngine
	item             string
	next, length     int
	eventsUntilBreak int   // negative for a run that does not break off
	engineStartedAt  int64 // when the engine had started, at the start of the run
	pace             int   // as reported at the start of the run
}

// Pace implements PaceReporter.
func (s *fakeStream) Pace() int { return s.pace }

// paceNow returns the current pace of an engine.
func (e *fakeEngine) paceNow() int {
	if e.paceAt == nil {
		return pace.Usual
	}
	return e.paceAt(time.Now())
}

func (s *fakeStream) Close() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.e.openStreams--
	s.f.open[s.item]--
}

func (s *fakeStream) Next() (Event, error) {
	s.f.mu.Lock()
	gap := time.Duration(float64(eventGap) * max(1, s.e.slowdown) * float64(s.e.paceNow()) / pace.Usual)
	silent := s.e.unresponsive || s.e.stalledItems[s.item]
	s.f.mu.Unlock()
	if silent {
		<-s.ctx.Done()
		return Event{}, ErrBroken
	}
	if s.next > s.length {
		return Event{}, io.EOF
	}
	select {
	case <-time.After(gap):
	case <-s.ctx.Done():
		return Event{}, ErrBroken
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if s.eventsUntilBreak == 0 || s.e.down {
		return Event{}, ErrBroken
	}
	if s.engineStartedAt != s.e.startedAt { // lost with the former incarnation; as behind a network cut, no event or error follows
		s.f.mu.Unlock()
		<-s.ctx.Done()
		s.f.mu.Lock()
		return Event{}, ErrBroken
	}
	s.eventsUntilBreak--
	e := Event{ID: s.next, Data: fmt.Sprintf("%s event %d", s.item, s.next), Version: s.e.version}
	s.next++
	return e, nil
}

func (f *fakeEngines) Report(_ context.Context, addr string) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[addr]
	if e.down || e.unresponsive {
		return Report{}, errors.New("no report")
	}
	return Report{StartedAt: e.startedAt, Sequence: e.sequence, Versions: map[string]uint64{"m": e.version}}, nil
}

func (f *fakeEngines) Order(_ context.Context, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[o.Addr]
	e.orders = append(e.orders, o)
	if e.loseNextOrder {
		e.loseNextOrder = false
		return errors.New("no answer")
	}
	if o.Sequence != e.sequence {
		return ErrNotRun
	}
	e.sequence++
	if e.ignoreOrders {
		return nil
	}
	time.AfterFunc(900*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.version = o.Version
	})
	return nil
}
