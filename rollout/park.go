package rollout

import (
	"context"
	"errors"
	"slices"

	"mulberryscale.example/api"
)

const (
	// parkAfter is how many samples must have finished before their lengths
	// say anything.
	parkAfter = 32
	// parkSlack is added to the share that the trainer waits for, so that the
	// samples it needs are not parked.
	parkSlack = 0.02
	// parkShareOfAll is the share of samples that is not parked when the
	// trainer waits for all of them.
	parkShareOfAll = 0.8
)

// stepPark is the step of a parked sample's refusal, which stays within the entry.
const stepPark = "entry.park"

// errParked says that a sample made room for samples that have not begun.
var errParked = errors.New("the sample was parked")

// parkLong parks running samples that are longer than most, while others that
// have less wait. A parked sample keeps its text and goes on once no other that
// was parked less often waits.
//
// Lengths are not known beforehand. When the trainer waits for a share of the
// step, the samples that run long are those that the step will most likely end
// without. When it waits for all, they are the stragglers: had they been met
// only at the end, each would hold up the step alone; parked, they are all
// known when the last of the others has begun, and run side by side.
func (s *step) parkLong(tasks []*task) {
	limit, known := s.parkLimit()
	if !known {
		return
	}
	for _, t := range tasks {
		l := t.current.Load()
		if l == nil {
			continue
		}
		parked := int(t.parked.Load())
		if parked >= mostParks {
			continue
		}
		if l.tokens() <= limit<<parked || !s.placer.waitsBelow(levelParked+level(parked)) {
			continue
		}
		select {
		case t.parks <- struct{}{}:
		default:
		}
	}
}

// parkLimit is the length in tokens above which a sample is parked for the
// first time; each further time it must have doubled.
func (s *step) parkLimit() (int, bool) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	if len(s.lengths) < parkAfter {
		return 0, false
	}
	share := parkShareOfAll
	if !s.waitsForAll() {
		share = float64(s.waitFor)/float64(len(s.req.Samples)) + parkSlack
	}
	sorted := slices.Sorted(slices.Values(s.lengths))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))], true
}

// noteLength keeps the length of a sample that finished or was parked.
func (s *step) noteLength(tokens int) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	s.lengths = append(s.lengths, tokens)
}

// mostParks bounds how often a sample is parked.
const mostParks = 8

// park ends a leg whose sample waits again, with its text.
func (t *task) park(ctx context.Context, l *leg) *api.Refusal {
	l.stop()
	t.progress = l.text()
	if t.parked.Add(1) == 1 {
		t.s.noteLength(t.progress.Tokens())
	}
	t.s.forget(ctx, map[peer][]string{peerOf(l.agent): {t.key}})
	refusal := t.refusal(api.CodePreempted, errParked, api.NotRunFalse)
	refusal.Step = stepPark
	return refusal
}

// waitsForAll says whether the trainer waits for every sample of the step.
func (s *step) waitsForAll() bool { return s.waitFor == len(s.req.Samples) }
