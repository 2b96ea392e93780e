package batch

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/pace"
)

const (
	// minSpeedRuns is the number of runs from which on times are estimated: the first items of a
	// step, since lengths are off by half for one item.
	minSpeedRuns = 4
	// moveCost is the time that reading the prompt again takes after a move.
	moveCost = 30 * time.Millisecond
	// minMoveGain is by how much sooner a running item must complete to be moved. Each move
	// aborts a run. With half a second, steps were not shorter and a sixth more runs were aborted.
	minMoveGain = time.Second
	// repeatedMoveFactor multiplies minMoveGain for each earlier move of an item. Without it,
	// items return to engines whose pace varies.
	repeatedMoveFactor = 4
	// maxMoveShare is the largest share of the time left that a running item may take after a
	// move: smaller differences are within the error of the estimated paces.
	maxMoveShare = 0.8
)

// engineSpeed is what is known of the speed of an engine that reports its pace.
type engineSpeed struct {
	pace pace.Estimate
	runs int
	// Weighted sums over the latest runs: expected work, seconds at the usual pace, and events.
	work, took, events float64
}

// recordRun records a run that generated an item's whole text.
func (s *engineSpeed) recordRun(now time.Time, work, events int, took time.Duration) {
	if !s.pace.Known() {
		return
	}
	s.runs++
	s.work = paceMemory*s.work + float64(work)
	s.took = paceMemory*s.took + took.Seconds()*pace.Usual/float64(s.pace.Pace(now))
	s.events = paceMemory*s.events + float64(events)
}

// known reports whether the time that items take can be estimated.
func (s *engineSpeed) known() bool {
	return s.runs >= minSpeedRuns && s.pace.Known() && s.took > 0 && s.events > 0
}

// remainingWork estimates the work that is left of a task.
func (s *engineSpeed) remainingWork(t *task) float64 {
	if t.complete {
		return 0
	}
	total := float64(t.item.expectedWork())
	done := float64(len(t.text)) * s.work / s.events
	return max(total-done, minRemaining*total)
}

// duration returns how long a slot of an engine of the given pace takes for work.
func (s *engineSpeed) duration(work float64, enginePace int) time.Duration {
	return time.Duration(work * s.took / s.work * float64(enginePace) / pace.Usual * float64(time.Second))
}

// taskEnds estimates the time until each task that runs or waits here is complete; nil if that
// is not known. It is called with w.mu held.
func (w *Worker) taskEnds() map[*task]time.Duration {
	s := &w.engine.speed
	instance, ok := w.View.Snapshot().AtAddr(w.Engine)
	if !s.known() || !ok {
		return nil
	}
	own := s.pace.Pace(time.Now())
	ends := make(map[*task]time.Duration, len(w.running)+len(w.waiting))
	slots := make([]time.Duration, max(1, instance.Slots, len(w.running))) // until each is free
	next := 0
	for t := range w.running {
		ends[t] = s.duration(s.remainingWork(t), own)
		slots[next] = ends[t]
		next++
	}
	for _, t := range w.waiting {
		free := indexOfMin(slots)
		slots[free] += s.duration(s.remainingWork(t), own)
		ends[t] = slots[free]
	}
	return ends
}

// indexOfMin returns the index of the first smallest value.
func indexOfMin(values []time.Duration) int {
	least := 0
	for i, v := range values {
		if v < values[least] {
			least = i
		}
	}
	return least
}

// timeLeft returns the time until the last task of a job is complete.
func (j *workJob) timeLeft(ends map[*task]time.Duration) time.Duration {
	left := time.Duration(0)
	for _, t := range j.tasks {
		left = max(left, ends[t])
	}
	return left
}

// pickFaster picks the items to release to an agent that names the pace of its engine: those that
// complete sooner there. Waiting ones come first, up to the share that matches the two paces,
// then running ones that complete after those of the other engines. It is called with w.mu held.
func (w *Worker) pickFaster(j *workJob, to string, ask *TakeRequest) []*task {
	ends := w.taskEnds()
	picked := w.pickWaiting(j, to, ask, ends)
	if !ask.Running {
		return picked
	}
	var running []*task
	for _, t := range j.tasks {
		if t.cancel != nil && !t.complete && ends[t] > ask.Horizon && w.worthMoving(t, ask.Pace, ends[t]) {
			running = append(running, t)
		}
	}
	slices.SortFunc(running, func(a, b *task) int {
		return cmp.Or(cmp.Compare(ends[b], ends[a]), cmp.Compare(a.index, b.index))
	})
	for _, t := range running[:min(len(running), max(0, ask.Max-len(picked)))] {
		t.moves++
		picked = append(picked, t)
	}
	return picked
}

// pickWaiting picks waiting items for pickFaster. It is called with w.mu held.
func (w *Worker) pickWaiting(j *workJob, to string, ask *TakeRequest, ends map[*task]time.Duration) []*task {
	s := &w.engine.speed
	var picked []*task
	waiting := 0
	for _, t := range w.waiting {
		if t.j != j {
			continue
		}
		waiting++
		there := s.duration(s.remainingWork(t), ask.Pace) + moveCost
		if there < ends[t] && !slices.Contains(t.avoid, to) && !w.isQuarantined(t) {
			picked = append(picked, t)
		}
	}
	limit := min(ask.Max, takeShare(waiting, s.pace.Pace(time.Now()), ask.Pace))
	return picked[:min(len(picked), limit)]
}

// takeShare returns how many of n waiting items an engine of pace taker should take from one of
// pace holder, so that both complete their part at the same time; at least one if there is any.
func takeShare(n, holder, taker int) int {
	return (n*holder + holder + taker - 1) / (holder + taker)
}

// worthMoving reports whether a running task that completes here after end completes so much
// sooner on an engine of another pace that it should be moved there. It is called with w.mu held.
func (w *Worker) worthMoving(t *task, otherPace int, end time.Duration) bool {
	s := &w.engine.speed
	there := s.duration(s.remainingWork(t), otherPace) + moveCost
	gain := minMoveGain
	for range min(t.moves, maxCountedMoves) {
		gain *= repeatedMoveFactor
	}
	return end-there >= gain && float64(there) <= maxMoveShare*float64(end)
}

// maxCountedMoves bounds the exponent of repeatedMoveFactor: 500 s are more than any item takes.
const maxCountedMoves = 5

// PaceReading returns the pace of the engine as this agent knows it, for its row.
func (w *Worker) PaceReading() pace.Reading {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, now := &w.engine.speed.pace, time.Now()
	return pace.Reading{Pace: e.Pace(now), Spread: e.Spread(now), StartedAt: w.engine.startedAt, Busy: w.itemCount() > 0}
}

// Agents returns the number of agents, which write the paces of their engines.
func (w *Worker) Agents() int { return countEngines(w.View.Snapshot()) }
