package fleet

import (
	"fmt"
	"testing"
	"time"
)

// TestObserveWorkGrowsWithHeartbeats observes the heartbeats of 100, 300 and 1,000 endpoints for
// ten minutes: the entries examined for each heartbeat must not grow with the endpoints. At one
// for each two heartbeats, the 5,000 heartbeats a second of 10,000 endpoints examine 2,500
// entries.
func TestObserveWorkGrowsWithHeartbeats(t *testing.T) {
	const (
		length   = 10 * time.Minute
		interval = 2 * time.Second
	)
	for _, endpoints := range []int{100, 300, 1000} {
		l, start, heartbeats := NewIncarnations(), time.Unix(1e9, 0), 0
		for at := time.Duration(0); at < length; at += interval {
			for i := range endpoints {
				l.Observe(Incarnation{ID: fmt.Sprint(i), StartedAt: 1}, start.Add(at))
				heartbeats++
			}
		}
		if perHeartbeat := float64(l.examined) / float64(heartbeats); perHeartbeat > 0.5 {
			t.Errorf("%d endpoints: %.2f entries examined per heartbeat", endpoints, perHeartbeat)
		}
	}
}

// TestStartIsForgottenAfterRetention checks that an endpoint that is no longer seen does not stay
// in memory, and that one that is seen does.
func TestStartIsForgottenAfterRetention(t *testing.T) {
	l, start := NewIncarnations(), time.Unix(1e9, 0)
	l.Observe(Incarnation{ID: "gone", StartedAt: 1}, start)
	for at := time.Duration(0); at <= startRetention+pruneInterval; at += time.Second {
		l.Observe(Incarnation{ID: "seen", StartedAt: 1}, start.Add(at))
	}
	if _, known := l.latest["gone"]; known {
		t.Error("an endpoint that was not seen for the retention is still known")
	}
	if order := l.Observe(Incarnation{ID: "seen"}, start.Add(startRetention+pruneInterval)); order != IncarnationUnknown {
		t.Errorf("the start of an endpoint that is seen was forgotten: %v", order)
	}
}
