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

// watcher notes what it is told.
type watcher struct {
	lost     int
	regained []time.Duration
}

func (w *watcher) Replace(store.Snapshot)       {}
func (w *watcher) Apply(store.Snapshot)         {}
func (w *watcher) Lost(error)                   { w.lost++ }
func (w *watcher) Regained(after time.Duration) { w.regained = append(w.regained, after) }

// TestFollowTellsEachLossAndReturnOnce cuts the path to the store twice.
func TestFollowTellsEachLossAndReturnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		way, w := rowstore.New().Client(), &watcher{}
		go store.Follow(ctx, way, store.Source{Table: "table"}, w)
		for range 2 {
			time.Sleep(5 * time.Second)
			way.Cut(fmt.Errorf("%w: away", store.ErrUnknown))
			time.Sleep(3 * time.Second)
			way.Cut(nil)
		}
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		if w.lost != 2 || len(w.regained) != 2 {
			t.Fatalf("%d losses, returns after %v", w.lost, w.regained)
		}
		for _, after := range w.regained {
			if after < 2*time.Second || after > 5*time.Second {
				t.Errorf("returned after %s, of 3 s away", after)
			}
		}
	})
}
