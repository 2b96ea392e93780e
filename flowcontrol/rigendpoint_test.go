package flowcontrol

import (
	"context"
	"slices"
	"time"

	"mulberryscale.example/fleet"
)

type rigEndpoint struct {
	instance fleet.Instance
	slow     float64
	pace     int
	running  int
	queue    []chan struct{}
	// freeSince is when a slot became free; zero while none is.
	freeSince time.Time
}

// send is one send to an endpoint.
func (r *rig) send(ctx context.Context, to fleet.Instance, work time.Duration) (*fleet.Load, bool, error) {
	time.Sleep(rigDelay)
	r.mu.Lock()
	r.result.sends++
	e := r.endpoints[slices.IndexFunc(r.endpoints, func(e *rigEndpoint) bool { return e.instance.ID == to.ID })]
	if e.running == rigSlots && len(e.queue) == rigRoom {
		r.result.declined++
		r.mu.Unlock()
		time.Sleep(rigDelay)
		return nil, true, nil
	}
	if e.running < rigSlots {
		e.running++
		if e.running == rigSlots {
			e.freeSince = time.Time{}
		}
		r.mu.Unlock()
	} else {
		turn := make(chan struct{})
		e.queue = append(e.queue, turn)
		r.result.peak = max(r.result.peak, len(e.queue))
		r.mu.Unlock()
		<-turn
	}
	time.Sleep(time.Duration(float64(work) * e.slow))
	load := r.finish(e)
	time.Sleep(rigDelay)
	return load, false, ctx.Err()
}

// finish frees a slot and returns the load that the endpoint reports.
func (r *rig) finish(e *rigEndpoint) *fleet.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	load := &fleet.Load{Running: e.running - 1, Waiting: len(e.queue), Slots: rigSlots, Pace: e.pace}
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
	} else {
		if e.running == rigSlots {
			e.freeSince = time.Now()
		}
		e.running--
	}
	if r.unreported {
		return nil
	}
	return load
}
