package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/store"
)

// watcher records the outages that are reported to it.
type watcher struct {
	lost     int
	regained []time.Duration
}

func (w *watcher) Replace(store.Snapshot)       {}
func (w *watcher) Apply(store.Snapshot)         {}
func (w *watcher) Lost(error)                   { w.lost++ }
func (w *watcher) Regained(after time.Duration) { w.regained = append(w.regained, after) }

// TestFollowReportsEachOutageOnce interrupts the connection to the store twice and
// expects one Lost and one Regained for each outage.
func TestFollowReportsEachOutageOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		client, w := rowstore.New().Client(), &watcher{}
		go store.Follow(ctx, client, store.Source{Table: "table"}, w)
		for range 2 {
			time.Sleep(5 * time.Second)
			client.SetError(fmt.Errorf("%w: away", store.ErrUnknown))
			time.Sleep(3 * time.Second)
			client.SetError(nil)
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		if w.lost != 2 || len(w.regained) != 2 {
			t.Fatalf("Lost called %d times, Regained after %v, want two of each", w.lost, w.regained)
		}
		for _, after := range w.regained {
			if after < 2*time.Second || after > 5*time.Second {
				t.Errorf("Regained after %s, want about 3 s", after)
			}
		}
	})
}
