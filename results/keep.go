package results

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Fence sees to it that the key does not start any more, and says whether it
// did before. A refusal means that nothing was fenced.
func (s *Store) Fence(now time.Time, key string) (wire.FenceState, *api.Refusal) {
	state, refusal, onEnd := s.fence(now, key)
	if onEnd != nil {
		onEnd()
	}
	return state, refusal
}

func (s *Store) fence(now time.Time, key string) (state wire.FenceState, refusal *api.Refusal, onEnd func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.runs[key]
	if !s.fenced.has(key) && s.fenced.full() {
		return 0, s.refuse(api.CodeQueueFull, "too many fenced keys in this incarnation", api.NotRunUnknown), nil
	}
	s.fenced.add(key)
	switch {
	case run != nil && run.state == StateRunning:
		return wire.FenceRunning, nil, nil
	case run != nil && run.state == StateQueued:
		onEnd = run.fence(now)
	case run != nil:
		return wire.FenceDone, nil, nil
	}
	switch {
	case s.used.has(key), s.ran.has(key):
		return wire.FenceDone, nil, onEnd
	case s.ran.full():
		return 0, s.refuse(api.CodeInternal, "too many keys to know whether this one ran", api.NotRunUnknown), onEnd
	}
	return wire.FenceNeverRan, nil, onEnd
}

func (r *Run) fence(now time.Time) (onEnd func()) {
	if !r.fire(triggerFence) {
		return nil
	}
	r.refusal = r.store.refuse(api.CodeFenced, "the key was fenced", r.store.notRun(r.key, r.nonIdempotent))
	return r.ended(now)
}

// Forget drops the results of keys whose answers have arrived, and cancels
// what still runs for them, since nobody wants it any more.
func (s *Store) Forget(now time.Time, keys []string) {
	for _, key := range keys {
		if end := s.forget(now, key); end != nil {
			end()
		}
	}
}

func (s *Store) forget(now time.Time, key string) (onEnd func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, ok := s.runs[key]
	if !ok {
		return nil
	}
	if run.final {
		s.drop(run)
		return nil
	}
	if run.nonIdempotent && run.started {
		return nil
	}
	return run.cancel(now)
}

// Sweep drops results whose linger is over and cancels runs that nobody has
// read for their linger. Then it drops the longest idle results until the rest
// fits MaxBytes.
func (s *Store) Sweep(now time.Time) {
	for _, end := range s.sweep(now) {
		end()
	}
}

func (s *Store) sweep(now time.Time) (onEnds []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []*Run
	for _, run := range s.runs {
		over := run.readers == 0 && now.Sub(run.idleSince) >= run.linger
		switch {
		case run.final && over:
			s.drop(run)
		case run.final && run.readers == 0:
			kept = append(kept, run)
		case over && !(run.nonIdempotent && run.started):
			if end := run.cancel(now); end != nil {
				onEnds = append(onEnds, end)
			}
		}
	}
	s.evict(kept)
	return onEnds
}

func (s *Store) evict(kept []*Run) {
	if s.bytes <= s.opts.MaxBytes {
		return
	}
	slices.SortFunc(kept, func(a, b *Run) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.key, b.key))
	})
	for _, run := range kept {
		if s.bytes <= s.opts.MaxBytes {
			return
		}
		s.drop(run)
	}
}
