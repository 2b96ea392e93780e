package batch

import (
	"context"
	"slices"
	"time"
)

const (
	// slowMemory is how long an engine counts as slow after its last event. It must
	// be tried again: slowness ends without a word.
	slowMemory = 1500 * time.Millisecond
	// whySlow is logged with items that leave a slow engine.
	whySlow = "engine is slow"
)

// slow reports whether the engine makes events much more slowly than it has done
// before. Company on a full engine costs a twentieth of its pace.
func (e *engineState) slow(now time.Time) bool {
	return e.quickest > 0 && float64(e.pace) > slowRatio*float64(e.quickest) && now.Sub(e.paced) < slowMemory
}

// isSlow is slow for callers that do not hold w.mu.
func (w *Worker) isSlow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engine.slow(time.Now())
}

// giveFromSlow gives the items here to agents whose engines are quicker, whether
// they have room or not: in their queue the longest go first. One item stays, by
// whose events the engine shows that it is well again.
//
// Agents that have room ask around for work themselves, but while a step is young
// none has: items of 145 events, which decide when a step ends, stayed for 0.8 to
// 1.9 s on engines that made four events meanwhile.
func (h *helper) giveFromSlow(ctx context.Context, statuses map[string]*Status) {
	h.mu.Lock()
	pace := h.engine.pace
	h.mu.Unlock()
	for e, s := range statuses {
		if slowRatio*float64(s.Pace) > float64(pace) {
			delete(statuses, e)
		}
	}
	engines := roomiest(statuses)
	if len(engines) == 0 {
		return
	}
	for j, tasks := range h.allButOne() {
		if able := h.able(j, engines); len(able) > 0 {
			h.giveJob(ctx, j, tasks, able, whySlow)
		}
	}
}

// able are the engines whose weights are recent enough for a job, as far as is known.
func (w *Worker) able(j *workJob, engines []string) []string {
	if j.job.Model == "" {
		return engines
	}
	snap := w.View.Snapshot()
	return slices.DeleteFunc(slices.Clone(engines), func(e string) bool {
		i, ok := snap.AtAddr(e)
		version, told := i.Versions[j.job.Model]
		return !ok || (told && version < j.job.MinVersion)
	})
}

// allButOne are the items that wait or run here, but for the one that is expected
// to have the least to do, by job and with the longest first.
func (w *Worker) allButOne() map[*workJob][]*task {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*task
	for _, j := range w.jobs {
		for _, t := range j.tasks {
			if !t.whole && !t.finished && (t.cancel != nil || slices.Contains(w.waiting, t)) {
				all = append(all, t)
			}
		}
	}
	slices.SortFunc(all, compareTasks)
	byJob := map[*workJob][]*task{}
	for _, t := range all[:max(0, len(all)-1)] {
		byJob[t.j] = append(byJob[t.j], t)
	}
	return byJob
}
