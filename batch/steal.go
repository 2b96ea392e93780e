package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// take is a request for items to the agent beside an engine.
type take struct {
	engine string
	ask    TakeRequest
}

// takesOf returns the agents to ask for items of a job, the first one first. If this engine or the
// others report no pace, running items are taken from an engine that is much slower at present,
// otherwise from the one that completes the job last.
func (w *Worker) takesOf(j *workJob, statuses map[string]*Status, free int) []take {
	w.mu.Lock()
	interval := w.engine.eventInterval
	own := w.engine.speed.pace.Pace(time.Now())
	left := j.timeLeft(w.taskEnds())
	w.mu.Unlock()
	paced, unpaced := splitByPace(statuses)
	if own == 0 {
		paced, unpaced = nil, statuses
	}
	takes := pacedTakes(paced, TakeRequest{Job: j.job.ID, Max: free, Pace: own}, left)
	if engine, running, n := busiestPeer(j.job.ID, unpaced, interval); n > 0 {
		takes = append(takes, take{engine, TakeRequest{Job: j.job.ID, Max: min(free, (n+1)/2), Running: running}})
	}
	return takes
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

// pacedTakes returns the agents to ask for items: first the one whose engine completes its part of
// the job last, if some wait there or if those that run there would complete much sooner on the
// asking engine, then the one with the most waiting items. left is the time until the asking
// engine completes its own part. The agent that is asked decides which items to release.
func pacedTakes(statuses map[string]*Status, ask TakeRequest, left time.Duration) []take {
	if len(statuses) == 0 {
		return nil
	}
	engines := slices.Sorted(maps.Keys(statuses))
	timeLeft := func(e string) time.Duration { return statuses[e].Jobs[ask.Job].Left }
	waiting := func(e string) int { return len(statuses[e].Jobs[ask.Job].Waiting) }
	last := slices.MaxFunc(engines, func(a, b string) int { return cmp.Compare(timeLeft(a), timeLeft(b)) })
	most := slices.MaxFunc(engines, func(a, b string) int { return cmp.Compare(waiting(a), waiting(b)) })
	ask.Horizon = left
	for _, e := range engines {
		if e != last {
			ask.Horizon = max(ask.Horizon, timeLeft(e))
		}
	}
	var takes []take
	if s := statuses[last]; timeLeft(last) > ask.Horizon {
		ask.Running = len(s.Jobs[ask.Job].Running) > 0 && timeLeft(last) >= minMoveGain &&
			float64(ask.Pace) <= maxMoveShare*float64(s.Pace)
		if ask.Running || waiting(last) > 0 {
			takes = append(takes, take{last, ask})
		}
	}
	ask.Running = false
	if waiting(most) > 0 && (len(takes) == 0 || most != last) {
		takes = append(takes, take{most, ask})
	}
	return takes
}
