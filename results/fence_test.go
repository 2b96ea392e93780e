package results

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/wire"
)

// TestRefusedFenceFencesNothing guards against a key that is fenced although Fence returned a
// refusal: it could then never run, though the caller was told that nothing was fenced. It also
// covers a run that is queued: it must stay queued. All key sets are small, so that they fill up.
func TestRefusedFenceFencesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{MaxKeys: 3, AnswerRetention: time.Second})
		fenced := map[string]bool{}
		var queued []*Run
		key := func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")) }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				k := key(t)
				r, refusal := s.Begin(start, generation(k, 0), nil)
				if refusal == nil && !r.Attached() {
					if fenced[k] {
						t.Fatalf("%s was accepted after it was fenced", k)
					}
					queued = append(queued, r.Run())
				}
			},
			"start": func(*rapid.T) {
				if len(queued) > 0 {
					queued[0].Start()
					queued = queued[1:]
				}
			},
			"fence": func(t *rapid.T) {
				k := key(t)
				waits := s.runs[k] != nil && s.runs[k].state == StateQueued
				state, refusal := s.Fence(start, k)
				if refusal != nil {
					if s.fenced.has(k) && !fenced[k] {
						t.Fatalf("%s is fenced although the fence was refused: %s", k, refusal.Message)
					}
					if waits && s.runs[k].state != StateQueued {
						t.Fatalf("the queued run of %s was stopped although the fence was refused", k)
					}
					return
				}
				fenced[k] = fenced[k] || state == wire.FenceNeverRan || s.fenced.has(k)
			},
			"incarnation": func(*rapid.T) {
				s.NextIncarnation()
				for k := range fenced {
					fenced[k] = s.fenced.has(k)
				}
			},
		})
	})
}
