package batch

import (
	"maps"
	"slices"
	"time"
)

// takeFrom decides from which agent to take items of a job, and how many; false if from none. If
// this engine or the others report no pace, running items are taken from an engine that is much
// slower at present, otherwise from the one that completes the job last.
func (w *Worker) takeFrom(j *workJob, statuses map[string]*Status, free int) (engine string, ask *TakeRequest, ok bool) {
	w.mu.Lock()
	interval, known := w.engine.eventInterval, w.engine.speed.known()
	own := w.engine.speed.pace.Pace(time.Now())
	left := j.timeLeft(w.taskEnds())
	w.mu.Unlock()
	paced, unpaced := splitByPace(statuses)
	if !known {
		paced, unpaced = nil, statuses
	}
	if engine, ask, ok := latestPeer(j.job.ID, paced, own, left); ok {
		ask.Max = free
		return engine, ask, true
	}
	engine, running, n := busiestPeer(j.job.ID, unpaced, interval)
	if n == 0 {
		return "", nil, false
	}
	return engine, &TakeRequest{Job: j.job.ID, Max: min(free, (n+1)/2), Running: running}, true
}

// splitByPace separates the statuses of engines that report their pace from the others.
func splitByPace(statuses map[string]*Status) (paced, unpaced map[string]*Status) {
	paced, unpaced = map[string]*Status{}, map[string]*Status{}
	for e, s := range statuses {
		if s.Pace > 0 {
			paced[e] = s
		} else {
			unpaced[e] = s
		}
	}
	return paced, unpaced
}

// latestPeer picks the agent to take items of a job from: the one whose engine completes its part
// last, if it has any that wait, or if the items that run there would complete much sooner on an
// engine of pace own; otherwise the one with the most waiting items. left is the time until this
// engine completes its own part. The agent that is asked decides which items to release.
func latestPeer(job string, statuses map[string]*Status, own int, left time.Duration) (engine string, ask *TakeRequest, ok bool) {
	engines := slices.Sorted(maps.Keys(statuses))
	last, horizon := "", left
	for _, e := range engines {
		if last == "" || statuses[e].Jobs[job].Left > statuses[last].Jobs[job].Left {
			last = e
		}
	}
	for _, e := range engines {
		if e != last {
			horizon = max(horizon, statuses[e].Jobs[job].Left)
		}
	}
	ask = &TakeRequest{Job: job, Pace: own, Horizon: horizon}
	if last == "" {
		return "", nil, false
	}
	s := statuses[last].Jobs[job]
	ask.Running = len(s.Running) > 0 && s.Left > horizon && s.Left >= minMoveGain &&
		float64(own) <= maxMoveShare*float64(statuses[last].Pace)
	if ask.Running || (len(s.Waiting) > 0 && s.Left > horizon) {
		return last, ask, true
	}
	most := 0
	for _, e := range engines {
		if waiting := len(statuses[e].Jobs[job].Waiting); waiting > most {
			engine, most = e, waiting
		}
	}
	return engine, ask, most > 0
}
