package e2e

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/fault"
)

// callersReady returns the status of /ready on an entry's callers' listener, which the
// balancer polls.
func callersReady(e *node) (status int, err error) {
	resp, err := direct.Get(e.url + api.PathReady)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// awaitCallersReady waits until an entry's /ready answers with a status.
func awaitCallersReady(t *testing.T, e *node, want int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s answers /ready with %d", e.id, want), func() error {
		status, err := callersReady(e)
		if err == nil && status != want {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// An entry that has the table but no agents yet is not ready. Once it is ready, it
// serves the first call.
func TestReadyOnlyWithAgents(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	e := f.entries[1]
	e.kill()
	f.fault(f.instances, fault.Fault{Kind: fault.Outage, On: true})
	e.start()
	eventually(t, "the entry has the table", func() error {
		statuses, err := statusOf(e)
		if err != nil {
			return err
		}
		if statuses[e.id].TableVersion == 0 {
			return errors.New("no table yet")
		}
		return nil
	})
	if status, err := callersReady(e); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("without agents /ready answers %d, %v", status, err)
	}
	f.fault(f.instances, fault.Fault{Kind: fault.Outage, On: false})
	awaitCallersReady(t, e, http.StatusOK)
	if _, err := lookup(t.Context(), e.url, lookupRequest(1, false)); err != nil {
		t.Errorf("the first lookup at a ready entry: %v", err)
	}
}

// A stopping entry reports itself unready to the balancer while it still serves.
func TestUnreadyBeforeDrain(t *testing.T) {
	f := startFleet(t, fleetOptions{unreadyDelay: time.Minute})
	e := f.entries[0]
	e.signal(syscall.SIGTERM)
	awaitCallersReady(t, e, http.StatusServiceUnavailable)
	if _, err := lookup(t.Context(), e.url, lookupRequest(1, false)); err != nil {
		t.Errorf("a lookup before the drain: %v", err)
	}
}
