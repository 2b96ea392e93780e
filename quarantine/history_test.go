package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/fleet"
	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)

func incarnation(n int) fleet.Incarnation { return fleet.Incarnation{ID: fmt.Sprint("i-", n)} }

// sequentialCrashes returns the history of a content that crashed n endpoints one after the
// other, the last of them at the given time.
func sequentialCrashes(n int, at time.Duration) *history {
	h := newHistory()
	for i := range n {
		before := time.Duration(n-1-i) * 100 * time.Millisecond
		h.crashes[incarnation(i)] = span{start: at - before - 50*time.Millisecond, end: at - before}
	}
	return h
}

// simultaneousCrashes returns the history of a content that was running at n endpoints when they
// crashed at the same time.
func simultaneousCrashes(n int, at time.Duration) *history {
	h := newHistory()
	for i := range n {
		h.crashes[incarnation(i)] = span{start: at - time.Duration(i+1)*time.Millisecond, end: at + time.Duration(i)*time.Microsecond}
	}
	return h
}

// overlappingCrashes returns the history of a content that was slow to crash its first endpoint,
// so that a second send overlapped with the first.
func overlappingCrashes(at time.Duration) *history {
	h := newHistory()
	h.crashes[incarnation(0)] = span{start: at - 160*time.Millisecond, end: at - 60*time.Millisecond}
	h.crashes[incarnation(1)] = span{start: at - 70*time.Millisecond, end: at}
	return h
}

func TestHistoryStates(t *testing.T) {
	const at = time.Hour
	withTrials := func(h *history, times ...time.Duration) *history {
		for i, at := range times {
			h.trials[i] = at
		}
		return h
	}
	for name, c := range map[string]struct {
		h     *history
		after time.Duration
		want  State
		wait  time.Duration
	}{
		"nothing known":        {newHistory(), 0, Clear, 0},
		"one crash":            {sequentialCrashes(1, at), 0, Suspect, 0},
		"simultaneous crashes": {simultaneousCrashes(5, at), 0, Suspect, 0},
		"overlapping sends":    {overlappingCrashes(at), 10 * time.Second, Quarantined, 20 * time.Second},
		"two crashes":          {sequentialCrashes(2, at), 10 * time.Second, Quarantined, 20 * time.Second},
		"first trial due":      {sequentialCrashes(2, at), 30 * time.Second, TrialDue, 0},
		"first trial claimed":  {withTrials(sequentialCrashes(2, at), at+30*time.Second), 40 * time.Second, Quarantined, 5*time.Minute - 10*time.Second},
		"second trial due":     {withTrials(sequentialCrashes(3, at), at+30*time.Second), 6 * time.Minute, TrialDue, 0},
		"no trial left":        {withTrials(sequentialCrashes(5, at), 1, 2, 3), 23 * time.Hour, Quarantined, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			got, wait := c.h.state(at + c.after)
			if got != c.want || wait != c.wait {
				t.Errorf("got %v for %v, want %v for %v", got, wait, c.want, c.wait)
			}
		})
	}
}

// However its requests are spaced, a content gets no more than three trials once three endpoints
// have crashed under it.
func TestContentGetsAtMostThreeTrials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := sequentialCrashes(rapid.IntRange(3, 9).Draw(t, "ends"), 0)
		trials := 0
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause"))
			if h.expired(now) {
				return
			}
			state, _ := h.state(now)
			if state == TrialDue {
				h.trials[h.nextTrial()] = now
				h.crashes[fleet.Incarnation{ID: "trial", StartedAt: int64(now)}] = span{now, now + time.Second}
				trials++
			}
			if state != TrialDue && state != Quarantined {
				t.Fatalf("%v after %d crashes", state, len(h.crashes))
			}
		}
		if trials > 3 {
			t.Fatalf("%d trials", trials)
		}
	})
}

func TestHistoriesExpire(t *testing.T) {
	for name, c := range map[string]struct {
		h      *history
		memory time.Duration
	}{
		"suspect":     {sequentialCrashes(1, time.Hour), suspectTTL},
		"quarantined": {sequentialCrashes(2, time.Hour), quarantineTTL},
	} {
		if c.h.expired(time.Hour+c.memory) || !c.h.expired(time.Hour+c.memory+1) {
			t.Errorf("%s: not remembered for exactly %v", name, c.memory)
		}
	}
}

func TestHistoriesAreBounded(t *testing.T) {
	hs := newHistories()
	for i := range maxHistories + 10 {
		hs.record(event{fingerprint: FingerprintOf(fmt.Sprint(i)), endpoint: incarnation(0), trial: -1, value: rowValue{At: time.Duration(i)}})
	}
	if len(hs.byFingerprint) != maxHistories {
		t.Fatalf("%d contents remembered", len(hs.byFingerprint))
	}
	if _, known := hs.byFingerprint[FingerprintOf("0")]; known {
		t.Error("the oldest content was not evicted")
	}
}
