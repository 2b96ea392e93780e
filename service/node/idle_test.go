package node

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
)

func TestIdleTimeFollowsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := fleet.NewView()
		view.SetConfig(&fleet.Config{Version: 1, Limits: fleet.Limits{IdleTimeout: 5 * time.Second}})
		i := newIdleConns(view)
		go i.run(t.Context())
		ours, theirs := net.Pipe()
		busy, _ := net.Pipe()
		i.changed(ours, http.StateIdle)
		i.changed(busy, http.StateIdle)
		i.changed(busy, http.StateActive)
		closed := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			_, _ = theirs.Read(make([]byte, 1)) // returns when the connection is closed
			closed <- time.Since(began)
		}()
		time.Sleep(3 * time.Second)
		view.SetConfig(&fleet.Config{Version: 2, Limits: fleet.Limits{IdleTimeout: 20 * time.Second}})
		if at := <-closed; at < 20*time.Second || at > 22*time.Second {
			t.Errorf("closed after %v", at)
		}
		if err := busy.SetDeadline(time.Time{}); err != nil {
			t.Errorf("a busy connection was closed: %v", err)
		}
		busy.Close()
	})
}
