package batch

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// TestSubmissionKeepsItsLimit guards against jobs whose time begins anew once their body has been read.
func TestSubmissionKeepsItsLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		arrived, deadline time.Time
		timeout           time.Duration
		want              time.Duration
	}{
		"no limit of its own":    {want: acceptTimeout},
		"timeout":                {timeout: time.Second, want: time.Second - answerReserve},
		"timeout, body was slow": {arrived: now.Add(-300 * time.Millisecond), timeout: time.Second, want: 700*time.Millisecond - answerReserve},
		"timeout, long":          {arrived: now.Add(-time.Second), timeout: time.Minute, want: acceptTimeout},
		"deadline":               {arrived: now, deadline: now.Add(800 * time.Millisecond), timeout: time.Second, want: 800*time.Millisecond - answerReserve},
		"time is up":             {arrived: now.Add(-time.Second), timeout: time.Second, want: -answerReserve},
	} {
		s := Submission{Arrived: c.arrived, Deadline: c.deadline, Route: &fleet.Route{Timeout: c.timeout}}
		if got := s.limit(now).Sub(now); got != c.want {
			t.Errorf("%s: given up after %s, want %s", name, got, c.want)
		}
	}
}
