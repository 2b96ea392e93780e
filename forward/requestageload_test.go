package forward

import (
	"testing"
	"time"
)

// TestOneClientWithMoreTimeDoesNotDelayOthers guards against a client that states much more time than
// the others of its organisation: all of these were taken for returning ones and late, so that few
// slots were used.
func TestOneClientWithMoreTimeDoesNotDelayOthers(t *testing.T) {
	const times, length = 3, 4 * time.Second
	for _, stated := range []time.Duration{time.Hour, 1900 * time.Millisecond} {
		n := 0
		o := simulateOverloadOf(t, times, length, true, nil, func() time.Duration {
			if n++; n%200 == 0 {
				return stated
			}
			return usualDeadline
		})
		first := float64(o.inTimeAtFirst) / (o.capacity() * length.Seconds())
		t.Logf("one client in 200 states %s: %d asked, %.2f of the slots in time of the first attempt, %d sends, %d rejected", stated, o.asked, first, o.sends, o.rejected)
		if first < 0.9 {
			t.Errorf("%.2f of what the slots carry was answered in time", first)
		}
	}
}

// TestClientsWithLittleTimeAreServed guards against clients that state less time than others of their
// organisation, are taken for returning ones, and get nothing while an overload lasts.
func TestClientsWithLittleTimeAreServed(t *testing.T) {
	const times, length = 3, 4 * time.Second
	n := 0
	o := simulateOverloadOf(t, times, length, true, nil, func() time.Duration {
		if n++; n%10 == 0 {
			return littleTime
		}
		return usualDeadline
	})
	t.Logf("%d asked with %s, %d of them in time; %d of all in time", o.asked/10, littleTime, o.inTimeLittle, o.inTimeAtFirst)
	if share := float64(o.inTimeLittle*10) / float64(o.inTimeAtFirst); share < 0.25 {
		t.Errorf("clients with little time get %.2f of the mean", share)
	}
}
