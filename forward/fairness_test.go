package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// sheddingSender simulates endpoints that decline requests beyond their slots.
type sheddingSender struct {
	mu      sync.Mutex
	running map[string]int
}

const sheddingSlots = 6

func (s *sheddingSender) take(id string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.running[id] == sheddingSlots {
		return false
	}
	s.running[id] += n
	return true
}

func (s *sheddingSender) Send(ctx context.Context, to fleet.Instance, _ *Request, _ time.Duration) (*Answer, error) {
	if !s.take(to.ID, 1) {
		return &Answer{Status: http.StatusServiceUnavailable, Declined: true, Load: &fleet.Load{Running: sheddingSlots, Slots: sheddingSlots}}, nil
	}
	defer s.take(to.ID, -1)
	select {
	case <-time.After(25 * time.Millisecond):
		return &Answer{Status: http.StatusOK, Body: []byte("whole")}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: cut", ErrBroken)
	}
}

// TestNoOrganisationStarves has the load of many small organisations at once: 83 of them send
// three endpoints of six slots three times what those can serve. Requests do not queue in an
// entry, so endpoints decline at random, and no organisation gets much less than the others.
func TestNoOrganisationStarves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const organisations, length, overload = 83, 6 * time.Second, 3
		view := fleet.NewView()
		view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
		var list []fleet.Instance
		for i := range 3 {
			list = append(list, fleet.Instance{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: sheddingSlots})
		}
		view.UpdateInstances(list, nil)
		f := New(view, &sheddingSender{running: map[string]int{}}, "z", observe.Discard(), observe.NewCounters())
		capacity := float64(len(list)*sheddingSlots) / 0.025 // requests a second
		rng := rand.New(rand.NewPCG(3, 3))
		var mu sync.Mutex
		var all sync.WaitGroup
		asked, served := make([]float64, organisations), make([]float64, organisations)
		for n := range int(overload * capacity * length.Seconds()) {
			o := rng.IntN(organisations)
			asked[o]++
			r := request(fleet.KindUnsafe)
			r.ID, r.Organisation = fmt.Sprint("r", n), fmt.Sprint("o", o)
			all.Go(func() {
				if _, err := f.Do(t.Context(), r); err == nil {
					mu.Lock()
					served[o]++
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / (overload * capacity) * float64(time.Second)))
		}
		all.Wait()
		sum, squares, least, total := 0.0, 0.0, 1.0, 0.0
		for o := range organisations {
			share := served[o] / asked[o]
			sum, squares, least, total = sum+share, squares+share*share, min(least, share), total+served[o]
		}
		jain, mean := sum*sum/(organisations*squares), sum/organisations
		t.Logf("served %.0f of %.0f a second, Jain's index %.3f, smallest share %.2f, mean %.2f", total/length.Seconds(), overload*capacity, jain, least, mean)
		if jain < 0.95 || least < mean/4 {
			t.Errorf("Jain's index %.3f, smallest share %.2f, mean %.2f", jain, least, mean)
		}
	})
}
