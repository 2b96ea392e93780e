package boottime

import "testing"

func TestNowIsMonotonic(t *testing.T) {
	last := Now()
	for range 1000 {
		now := Now()
		if now < last {
			t.Fatalf("%s after %s", now, last)
		}
		last = now
	}
	if last <= 0 {
		t.Fatalf("got %s", last)
	}
}
