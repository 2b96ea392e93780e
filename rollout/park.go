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
)

// errParked says that a sample made room for samples that have not begun.
var errParked = errors.New("the sample was parked")

// parkLong parks running samples that are longer than the share of samples that
// the trainer waits for, while others wait for a slot: they are the ones that
// the step will most likely end without. A parked sample keeps its text and
// goes on when every other sample has begun.
func (s *step) parkLong(tasks []*task) {
	limit, known := s.parkLimit()
	if !known {
		return
	}
	for _, t := range tasks {
		l := t.current.Load()
		if l == nil || l.tokens() <= limit || !s.placer.waitsBelow(levelParked) {
			continue
		}
		select {
		case t.parks <- struct{}{}:
		default:
		}
	}
}

// parkLimit is the length in tokens above which a sample is parked.
func (s *step) parkLimit() (int, bool) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	if len(s.lengths) < parkAfter {
		return 0, false
	}
	share := float64(s.waitFor)/float64(len(s.req.Samples)) + parkSlack
	sorted := slices.Sorted(slices.Values(s.lengths))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))], true
}

// noteLength keeps the length of a sample that finished or was parked.
func (s *step) noteLength(tokens int) {
	s.lengthsMu.Lock()
	defer s.lengthsMu.Unlock()
	s.lengths = append(s.lengths, tokens)
}

// park ends a leg whose sample waits again, with its text.
func (t *task) park(ctx context.Context, l *leg) *api.Refusal {
	l.stop()
	t.progress = l.text()
	if !t.parked {
		t.s.noteLength(t.progress.Tokens())
	}
	t.parked = true
	t.s.Forget(ctx, map[peer][]string{peerOf(l.agent): {t.key}})
	return t.refusal(api.CodeFenced, errParked, api.NotRunFalse)
}
