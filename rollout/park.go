package rollout

import (
	"context"
	"errors"
	"slices"

	"mulberryscale.example/api"
)

const (
	// minParkLengths is how many lengths of samples must be known before parkLimit
	// is derived from them.
	minParkLengths = 32
	// parkSlack is added to the share of samples that the trainer waits for, so
	// that samples it needs are not parked.
	parkSlack = 0.02
	// parkShareOfAll is the share of samples that are not parked when the trainer
	// waits for all of them.
	parkShareOfAll = 0.8
)

// stepPark is the step named in the refusal of a parked sample. The refusal does not
// leave the entry.
const stepPark = "entry.park"

// errParked is the reason of a sample that was stopped to free its slot for samples
// that have not started.
var errParked = errors.New("the sample was parked")

// parkLong parks running samples that are longer than most while samples of a lower
// level wait for an agent. A parked sample keeps its text and resumes once no sample
// waits that was parked less often.
//
// Lengths are not known in advance. When the trainer waits for a share of the samples,
// the step will most likely complete without the long ones. When it waits for all, the
// long ones are the stragglers. Without parking, each would be discovered only at the end
// and would delay the step by itself. With parking, all long samples are known by the
// time the last of the other samples has started, and they run in parallel.
func (s *step) parkLong(tasks []*task) {
	limit, known := s.parkLimit()
	if !known {
		return
	}
	for _, t := range tasks {
		r := t.current.Load()
		if r == nil {
			continue
		}
		parked := int(t.parked.Load())
		if parked >= maxParks {
			continue
		}
		if r.tokenCount() <= limit<<parked || !s.placer.waitsBelow(levelParked+level(parked)) {
			continue
		}
		select {
		case t.parks <- struct{}{}:
		default:
		}
	}
}

// parkLimit returns the length in tokens above which a sample is parked for the first
// time; the limit doubles for each further time. It is not known until minParkLengths
// lengths were recorded.
func (s *step) parkLimit() (int, bool) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	if len(s.lengths) < minParkLengths {
		return 0, false
	}
	share := parkShareOfAll
	if !s.waitsForAll() {
		share = float64(s.waitFor)/float64(len(s.req.Samples)) + parkSlack
	}
	sorted := slices.Sorted(slices.Values(s.lengths))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))], true
}

// recordLength records the length in tokens of a sample that finished or was parked.
func (s *step) recordLength(tokens int) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	s.lengths = append(s.lengths, tokens)
}

// maxParks bounds how often one sample is parked.
const maxParks = 8

// park stops a run and keeps its text; the returned refusal sends the sample back to the
// placer's queue.
func (t *task) park(ctx context.Context, r *agentRun) *api.Refusal {
	r.stop()
	t.progress = r.snapshot()
	if t.parked.Add(1) == 1 {
		t.s.recordLength(t.progress.Tokens())
	}
	t.s.forget(ctx, map[peer][]string{peerOf(r.agent): {t.key}})
	refusal := t.refusal(api.CodePreempted, errParked, api.NotRunFalse)
	refusal.Step = stepPark
	return refusal
}

// waitsForAll reports whether the trainer waits for every sample of the step.
func (s *step) waitsForAll() bool { return s.waitFor == len(s.req.Samples) }
