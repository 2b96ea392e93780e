package forward

import (
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// TestWaitingRequestsFollowTheConfiguration guards against a request that reaches a service long after
// the configuration has given its route to another one.
func TestWaitingRequestsFollowTheConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		service string
		wait    time.Duration
		sent    int
	}{
		"unchanged":      {"s", 4 * time.Second, 1},
		"moved":          {"other", 4 * time.Second, 0},
		"moved just now": {"other", 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inGatedRig(t, 1, func(t *testing.T, r *gatedRig) {
				for range 10 { // the endpoint gets one request in 500 ms when it has answered nothing
					r.fill()
				}
				q := r.request("r", fleet.KindUnsafe)
				q.Host, q.Route.Timeout = "h:80", time.Minute
				done := r.start(r.ctx, q)
				route := *q.Route
				route.Host, route.Prefix, route.Backends = "h", "/p/", []fleet.Backend{{Service: c.service, Weight: 1}}
				config := &fleet.Config{Version: 2, Services: []fleet.Service{{Name: "s"}, {Name: "other"}}, Routes: []fleet.Route{route}}
				config.Index()
				r.View.SetConfig(config)
				time.Sleep(c.wait)
				r.answerAll(whole)
				if got := <-done; len(r.sentTo("r")) != c.sent || (got.err == nil) != (c.sent == 1) {
					t.Errorf("sent to %v, %v", r.sentTo("r"), got.err)
				} else if got.err != nil {
					wantRefusal(t, got, ReasonNoEndpoint, true)
				}
			})
		})
	}
}
