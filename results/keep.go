package results

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Fence prevents the key from starting and reports whether it started before.
// If Fence returns a refusal, nothing was fenced.
func (s *Store) Fence(now time.Time, key string) (wire.FenceState, *api.Refusal) {
	state, refusal, onAbort := s.fence(now, key)
	if onAbort != nil {
		onAbort()
	}
	return state, refusal
}

func (s *Store) fence(now time.Time, key string) (state wire.FenceState, refusal *api.Refusal, onAbort func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenced.has(key) && s.fenced.full() {
		return 0, s.refuse(api.CodeQueueFull, "too many fenced keys in this incarnation", api.NotRunUnknown), nil
	}
	run := s.runs[key]
	state = s.fenceState(run, key)
	if state == wire.FenceNeverRan && s.startedOther.full() {
		return 0, s.refuse(api.CodeInternal, "too many keys to know whether this one ran", api.NotRunUnknown), nil
	}
	s.fenced.add(key)
	if run != nil && run.state == StateQueued {
		onAbort = run.fence(now)
	}
	return state, nil, onAbort
}

// fenceState returns the state of a key as far as it is known; run is its run, nil if there is none.
func (s *Store) fenceState(run *Run, key string) wire.FenceState {
	switch {
	case run != nil && run.state == StateRunning:
		return wire.FenceRunning
	case run != nil && run.state != StateQueued:
		return wire.FenceDone
	case s.startedNonIdempotent.has(key), s.startedOther.has(key):
		return wire.FenceDone
	}
	return wire.FenceNeverRan
}

func (r *Run) fence(now time.Time) (onAbort func()) {
	if !r.fire(triggerFence) {
		return nil
	}
	r.refusal = r.store.refuse(api.CodeFenced, "the key was fenced", r.store.notRun(r.key, r.nonIdempotent))
	return r.finalize(now)
}

// Forget drops the results of keys whose answers have arrived, and cancels runs
// of these keys that are still queued or running, since their answers are no
// longer needed. A non-idempotent run that has started goes on.
func (s *Store) Forget(now time.Time, keys []string) {
	for _, key := range keys {
		if onAbort := s.forget(now, key); onAbort != nil {
			onAbort()
		}
	}
}

func (s *Store) forget(now time.Time, key string) (onAbort func()) {
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

// Sweep drops results whose retention time is over and cancels runs that have
// had no reader for their retention time, except non-idempotent runs that have
// started. Then it drops the longest idle results until the rest fits MaxBytes.
func (s *Store) Sweep(now time.Time) {
	for _, onAbort := range s.sweep(now) {
		onAbort()
	}
}

func (s *Store) sweep(now time.Time) (onAborts []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var evictable []*Run
	for _, run := range s.runs {
		expired := run.readers == 0 && now.Sub(run.idleSince) >= run.retention
		switch {
		case run.final && expired:
			s.drop(run)
		case run.final && run.readers == 0:
			evictable = append(evictable, run)
		case expired && !(run.nonIdempotent && run.started):
			if onAbort := run.cancel(now); onAbort != nil {
				onAborts = append(onAborts, onAbort)
			}
		}
	}
	s.evict(evictable)
	return onAborts
}

func (s *Store) evict(evictable []*Run) {
	if s.bytes <= s.opts.MaxBytes {
		return
	}
	slices.SortFunc(evictable, func(a, b *Run) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.key, b.key))
	})
	for _, run := range evictable {
		if s.bytes <= s.opts.MaxBytes {
			return
		}
		s.drop(run)
	}
}
