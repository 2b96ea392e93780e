package batch

import "time"

// takeFrom returns the agent to ask for items of a job and the request; false if no agent has any to
// hand over. Waiting items of an engine that reports its pace are shared by the two paces. Running
// ones are taken by the present intervals between events: moving them only where the averaged paces
// and the remaining work show an earlier end aborted 3 instead of 17 in 100 runs, but ended steps
// later, since lengths are known only at the median (docs/design/engine-pace.md).
func (w *Worker) takeFrom(j *workJob, statuses map[string]*Status, free int) (engine string, ask *TakeRequest, ok bool) {
	w.mu.Lock()
	interval := w.engine.eventInterval
	own := w.engine.speed.pace.Pace(time.Now())
	w.mu.Unlock()
	engine, running, n := busiestPeer(j.job.ID, statuses, interval)
	if n == 0 {
		return "", nil, false
	}
	ask = &TakeRequest{Job: j.job.ID, Max: min(free, (n+1)/2), Running: running}
	if !running && own > 0 && statuses[engine].Pace > 0 {
		ask.Max, ask.Pace = free, own
	}
	return engine, ask, true
}
