package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/observe"
)

// TestCallerHeldUpSharesAReadThatBeganSinceItCame holds a caller up between its arrival and
// its look at the list, as a busy process does, while another caller's read of the list begins
// and ends. The caller makes no call of its own to the store.
func TestCallerHeldUpSharesAReadThatBeganSinceItCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newReaderRig(t, 8)
		own := &countingStore{Store: rig.store}
		rig.reader = NewReader(newLedger(own), rig.store.Now, observe.Discard())
		heldUp := query{maxBytes: 1 << 20, began: time.Now()}
		time.Sleep(5 * time.Millisecond)
		rig.want(0)
		time.Sleep(5 * time.Millisecond)
		before := own.calls.Load()
		must(t, rig.reader.refresh(t.Context(), "j", rig.reader.touch("j"), heldUp))
		if n := own.calls.Load() - before; n != 0 {
			t.Errorf("%d calls to the store for a list that was read since the caller came", n)
		}
	})
}

// TestListReadBeforeTheCallerCameIsReadAgain reads a list a moment before another entry shows a
// new result: a caller that comes afterwards must get that result, however young the list is.
func TestListReadBeforeTheCallerCameIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, age := range []time.Duration{time.Nanosecond, time.Millisecond, maxListAge, time.Second} {
			rig := newReaderRig(t, 8)
			rig.append("a")
			rig.want(0, "a")
			time.Sleep(age / 2)
			rig.append("b")
			time.Sleep(age - age/2)
			rig.want(1, "b")
		}
	})
}
