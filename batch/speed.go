package batch

import (
	"math"
	"time"

	"mulberryscale.example/pace"
)

const (
	// minSpeedRuns is the number of runs from which on times are estimated: the first items of a
	// step, since lengths are off by half for one item.
	minSpeedRuns = 4
	// moveCost is the time that reading the prompt again takes after a move.
	moveCost = 30 * time.Millisecond
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

// notServed is the estimated end of items that the engine cannot serve now: any other is sooner.
const notServed = time.Duration(math.MaxInt64)

// taskEnds estimates the time until each task that runs or waits here is complete; nil if that
// is not known. It is called with w.mu held.
func (w *Worker) taskEnds() map[*task]time.Duration {
	s := &w.engine.speed
	instance, ok := w.View.Snapshot().AtAddr(w.Engine)
	if !s.known() || !ok {
		return nil
	}
	own := s.pace.Pace(time.Now())
	var served, unserved []*task
	for _, t := range w.waiting {
		if w.engine.canServe(t.j.job) {
			served = append(served, t)
		} else {
			unserved = append(unserved, t)
		}
	}
	ends := w.queueEnds(served, instance.Slots, func(t *task) time.Duration { return s.duration(s.remainingWork(t), own) })
	for _, t := range unserved {
		ends[t] = notServed
	}
	return ends
}

// queueEnds estimates the time until each running task, and each of the waiting ones in their order, is complete.
// duration is the time for which a task keeps a slot from now on. It is called with w.mu held.
func (w *Worker) queueEnds(waiting []*task, slots int, duration func(*task) time.Duration) map[*task]time.Duration {
	ends := make(map[*task]time.Duration, len(w.running)+len(w.waiting))
	used := min(slots, len(w.running)+len(waiting))             // the list may name any number
	busy := make([]time.Duration, max(1, used, len(w.running))) // until each slot is free
	next := 0
	for t := range w.running {
		ends[t] = duration(t)
		busy[next] = ends[t]
		next++
	}
	for _, t := range waiting {
		free := indexOfMin(busy)
		busy[free] += duration(t)
		ends[t] = busy[free]
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

// pickWaiting picks the waiting items to release to an agent that names the pace of its engine:
// those that complete sooner there, up to the share that matches the two paces. It is called with
// w.mu held.
func (w *Worker) pickWaiting(j *workJob, to string, ask *TakeRequest) []*task {
	s := &w.engine.speed
	ends := w.taskEnds()
	var picked []*task
	waiting := 0
	for _, t := range w.waiting {
		if t.j != j {
			continue
		}
		waiting++
		there := s.duration(s.remainingWork(t), ask.Pace) + moveCost
		if there < ends[t] && !w.avoids(t, to) {
			picked = append(picked, t)
		}
	}
	limit := ask.Max
	if w.engine.canServe(j.job) {
		limit = min(limit, takeShare(waiting, s.pace.Pace(time.Now()), ask.Pace))
	}
	return picked[:min(len(picked), limit)]
}

// takeShare returns how many of n waiting items an engine of pace taker should take from one of
// pace holder, so that both complete their part at the same time; at least one if there is any.
func takeShare(n, holder, taker int) int {
	return (n*holder + holder + taker - 1) / (holder + taker)
}

// PaceReading returns the pace of the engine as this agent knows it, for its row.
func (w *Worker) PaceReading() pace.Reading {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, now := &w.engine.speed.pace, time.Now()
	return pace.Reading{Pace: e.Pace(now), Spread: e.Spread(now), StartedAt: w.engine.startedAt, Busy: w.itemCount() > 0}
}

// Agents returns the number of agents, which write the paces of their engines.
func (w *Worker) Agents() int { return countEngines(w.View.Snapshot()) }
