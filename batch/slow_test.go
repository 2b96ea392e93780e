package batch

import (
	"fmt"
	"testing"
	"time"
)

// The load answered: engines turn slow by three to four times for some seconds,
// while every engine has more items than places. What ends a step are its longest
// items, which must not stay there.

// stepWithSlowEngines submits a step of 150 items, a tenth of which are ten times as
// long, to ten engines of four places, some of which have just turned slow. It
// returns when the last one is done and how often an item was sent at most.
func stepWithSlowEngines(t *testing.T, slow int) (took time.Duration, most int) {
	bubble(t, func(t *testing.T) {
		const engines, items, long = 10, 150, 15
		r := newWorkerRig(t, engines)
		ids := someItems(items)
		for i := range long { // the ones that are expected to be the longest
			r.engines.lengths[ids[items-1-i].ID] = 100
		}
		r.submit("before", items, nil) // all engines have shown their pace
		r.await("before", items, 30*time.Second)
		time.Sleep(time.Second)
		for i := range slow {
			r.engine(i, func(e *fakeEngine) { e.slow = 4 })
		}
		began := time.Now()
		r.submit("step", items, nil)
		r.whole(r.await("step", items, 30*time.Second))
		took = time.Since(began)
		sent := map[string]int{}
		for _, run := range r.runs() {
			if !run.at.Before(began) {
				sent[run.item]++
				most = max(most, sent[run.item])
			}
		}
	})
	return took, most
}

// TestLongItemsLeaveSlowEnginesSoon: a step that has two of ten engines slow may cost
// what it takes to notice (three events), to look (250 ms) and to wait for one short
// item's place elsewhere, 0.4 s each, and no item travels back and forth.
func TestLongItemsLeaveSlowEnginesSoon(t *testing.T) {
	without, _ := stepWithSlowEngines(t, 0)
	for slow := 1; slow <= 2; slow++ {
		took, most := stepWithSlowEngines(t, slow)
		t.Logf("%d slow: %s instead of %s, an item was sent %d times at most", slow, took, without, most)
		if took > without+1200*time.Millisecond {
			t.Errorf("%d slow: the step took %s instead of %s", slow, took, without)
		}
		if most > 4 {
			t.Errorf("%d slow: an item was sent %d times", slow, most)
		}
	}
}

func TestWhatCountsAsSlow(t *testing.T) {
	e := newEngineState()
	now := time.Now()
	if e.slow(now) {
		t.Error("slow before any event")
	}
	feed := func(n int, gap time.Duration) {
		for range n {
			e.observe("m", 1, gap, true)
		}
	}
	feed(60, 48*time.Millisecond)
	feed(60, 50*time.Millisecond)
	if e.slow(time.Now()) {
		t.Error("slow by its company")
	}
	n := 0
	for !e.slow(time.Now()) && n < 50 {
		feed(1, 180*time.Millisecond)
		n++
	}
	if n > 4 {
		t.Errorf("noticed after %d events", n)
	}
	if e.slow(time.Now().Add(2 * slowMemory)) {
		t.Error("slow for ever, without an event")
	}
	feed(30, 48*time.Millisecond)
	if e.slow(time.Now()) {
		t.Error("slow though it is well again")
	}
	e.bear(7)
	if e.slow(time.Now()) || e.quickest != 0 {
		t.Errorf("after a start: %+v", fmt.Sprint(e.quickest))
	}
}
