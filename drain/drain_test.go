package drain

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a process that is killed, or aborts requests too early, at grace times other than
// the usual one.
func TestPlanFitsIntoTheGraceTime(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second, 10 * time.Minute} {
		plan := NewPlan(grace)
		if plan.Accept <= 0 || plan.Accept >= plan.Abort || plan.Abort+plan.Reserve != grace {
			t.Errorf("grace %s: %+v", grace, plan)
		}
		if plan.Abort < grace*5/6 {
			t.Errorf("grace %s: requests are aborted after %s, before the last sixth", grace, plan.Abort)
		}
	}
}

func TestAdmits(t *testing.T) {
	const grace = 8 * time.Second // 6.8 s until requests are aborted
	for _, tt := range []struct {
		name    string
		after   time.Duration // after the signal
		request Request
		want    bool
	}{
		{"ends in time", 3400 * time.Millisecond, Request{Limit: 3 * time.Second}, true},
		{"early and long, as far as is known", 2400 * time.Millisecond, Request{Limit: 10 * time.Second, Expected: 5 * time.Second}, false},
		{"early, usually short", 2 * time.Second, Request{Limit: 10 * time.Second, Expected: time.Second}, true},
		{"early, nothing known", 2 * time.Second, Request{Limit: 10 * time.Second}, true},
		{"late, usually short", 2600 * time.Millisecond, Request{Limit: 10 * time.Second, Expected: time.Second}, false},
		{"late, usually short, repeatable", 3100 * time.Millisecond, Request{Limit: 10 * time.Second, Expected: time.Second, Repeatable: true}, true},
		{"late, long, repeatable", 3100 * time.Millisecond, Request{Limit: 10 * time.Second, Expected: 4 * time.Second, Repeatable: true}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := New(NewPlan(grace))
				if !stop.Admits(tt.request) {
					t.Error("refused before the signal")
				}
				stop.Begin()
				time.Sleep(tt.after)
				stop.Begin() // a second signal changes nothing
				if got := stop.Admits(tt.request); got != tt.want {
					t.Errorf("got %t", got)
				}
			})
		})
	}
}

func TestNilStopIsNeverStopping(t *testing.T) {
	var stop *Stop
	if stop.Stopping() || !stop.Admits(Request{Limit: time.Hour}) {
		t.Error("a process without a stop refuses requests")
	}
}
