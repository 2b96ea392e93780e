package forward

import (
	"testing"
	"time"
)

func TestDurationsForgetOldAnswers(t *testing.T) {
	now := time.Now()
	d := newDurations(now)
	d.observe("r", 4*time.Second, now)
	d.observe("r", time.Second, now.Add(durationPeriod+time.Second))
	if got := d.longest("r"); got != 4*time.Second {
		t.Errorf("in the period after: %s", got)
	}
	d.observe("r", 2*time.Second, now.Add(2*durationPeriod+2*time.Second))
	if got := d.longest("r"); got != 2*time.Second {
		t.Errorf("two periods after: %s", got)
	}
	if got := d.longest("other"); got != 0 {
		t.Errorf("another route: %s", got)
	}
}
