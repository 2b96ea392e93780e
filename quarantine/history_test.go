package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/fleet"
)

func end(n int) fleet.Incarnation { return fleet.Incarnation{ID: fmt.Sprint("i-", n)} }

// ended is the history of a content under which n endpoints ended one after the
// other, the last of them at a moment.
func ended(n int, at time.Duration) *history {
	h := newHistory()
	for i := range n {
		before := time.Duration(n-1-i) * 100 * time.Millisecond
		h.ends[end(i)] = span{began: at - before - 50*time.Millisecond, ended: at - before}
	}
	return h
}

// together is the history of a content under which n endpoints ended at one moment.
func together(n int, at time.Duration) *history {
	h := newHistory()
	for i := range n {
		h.ends[end(i)] = span{began: at - time.Duration(i+1)*time.Millisecond, ended: at + time.Duration(i)*time.Microsecond}
	}
	return h
}

// beside is the history of a content that was slow to end its first endpoint, so that
// a second send was made beside the first.
func beside(at time.Duration) *history {
	h := newHistory()
	h.ends[end(0)] = span{began: at - 160*time.Millisecond, ended: at - 60*time.Millisecond}
	h.ends[end(1)] = span{began: at - 70*time.Millisecond, ended: at}
	return h
}

func TestVerdicts(t *testing.T) {
	const at = time.Hour
	tried := func(h *history, moments ...time.Duration) *history {
		for i, m := range moments {
			h.trials[i] = m
		}
		return h
	}
	for name, c := range map[string]struct {
		h     *history
		limit Limit
		after time.Duration
		want  State
		wait  time.Duration
	}{
		"nothing known":         {newHistory(), RequestLimit, 0, Clear, 0},
		"one end":               {ended(1, at), RequestLimit, 0, Suspect, 0},
		"ends together":         {together(5, at), RequestLimit, 0, Suspect, 0},
		"second send beside":    {beside(at), RequestLimit, 10 * time.Second, Quarantined, 20 * time.Second},
		"two ends":              {ended(2, at), RequestLimit, 10 * time.Second, Quarantined, 20 * time.Second},
		"two ends of an item":   {ended(2, at), ItemLimit, 0, Suspect, 0},
		"three ends of an item": {ended(3, at), ItemLimit, 0, Quarantined, 30 * time.Second},
		"first trial due":       {ended(2, at), RequestLimit, 30 * time.Second, TrialDue, 0},
		"first trial claimed":   {tried(ended(2, at), at+30*time.Second), RequestLimit, 40 * time.Second, Quarantined, 5*time.Minute - 10*time.Second},
		"second trial due":      {tried(ended(3, at), at+30*time.Second), RequestLimit, 6 * time.Minute, TrialDue, 0},
		"no trial left":         {tried(ended(5, at), 1, 2, 3), RequestLimit, 23 * time.Hour, Quarantined, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			got, wait := c.h.judge(c.limit, at+c.after)
			if got != c.want || wait != c.wait {
				t.Errorf("got %v for %v, want %v for %v", got, wait, c.want, c.wait)
			}
		})
	}
}

// Whatever the times at which a content comes, it reaches endpoints in no more than
// three retries once three have ended under it.
func TestNoContentIsTriedOutMoreThanThreeTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := ended(rapid.IntRange(3, 9).Draw(t, "ends"), 0)
		trials := 0
		now := time.Duration(0)
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause"))
			if h.forgotten(now) {
				return
			}
			verdict, _ := h.judge(RequestLimit, now)
			if verdict == TrialDue {
				h.trials[h.nextTrial()] = now
				h.ends[fleet.Incarnation{ID: "trial", Born: int64(now)}] = span{now, now + time.Second}
				trials++
			}
			if verdict != TrialDue && verdict != Quarantined {
				t.Fatalf("%v after %d ends", verdict, len(h.ends))
			}
		}
		if trials > 3 {
			t.Fatalf("tried out %d times", trials)
		}
	})
}

func TestWhatIsOldIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		h      *history
		memory time.Duration
	}{
		"suspect": {ended(1, time.Hour), suspectMemory},
		"held":    {ended(2, time.Hour), heldMemory},
	} {
		if c.h.forgotten(time.Hour+c.memory) || !c.h.forgotten(time.Hour+c.memory+1) {
			t.Errorf("%s: not remembered for just %v", name, c.memory)
		}
	}
}

func TestBookIsBounded(t *testing.T) {
	b := newBook()
	for i := range maxSubjects + 10 {
		b.note(event{subject: FingerprintOf(fmt.Sprint(i)), endpoint: end(0), trial: -1, mark: mark{At: time.Duration(i)}})
	}
	if len(b.subjects) != maxSubjects {
		t.Fatalf("%d contents remembered", len(b.subjects))
	}
	if _, known := b.subjects[FingerprintOf("0")]; known {
		t.Error("the oldest is remembered")
	}
}
