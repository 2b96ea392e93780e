package background

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Gate limits the concurrent calls to one service to the size of its window, and
// admits the most urgent first. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	window  Window
	open    int
	waiting []*waiter // in the order in which they will be admitted
}

// waiter is a call that waits for admission.
type waiter struct {
	rank     time.Duration
	admitted chan struct{} // closed on admission
}

// Enter waits until a call may start; calls of a lower rank go first, those of equal
// rank in order of arrival. If it returns nil, Leave must be called when the call has
// completed; else it returns the cause of ctx.
func (g *Gate) Enter(ctx context.Context, rank time.Duration, s ServiceCapacity) error {
	g.mu.Lock()
	w := &waiter{rank: rank, admitted: make(chan struct{})}
	i, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), -1) // after those of equal rank
	})
	g.waiting = slices.Insert(g.waiting, i, w)
	g.admit(s)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return context.Cause(ctx)
	}
	g.release(s) // it was admitted in the meantime
	return context.Cause(ctx)
}

// Leave removes a completed call. update is called first, to record in the window what the
// call's answer said of the service's load.
func (g *Gate) Leave(s ServiceCapacity, update func(w *Window, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.window, time.Now())
	g.release(s)
}

// release frees the slot of a call. The caller holds g.mu.
func (g *Gate) release(s ServiceCapacity) {
	g.open--
	g.window.CallDone(g.open, time.Now())
	g.admit(s)
}

// admit admits as many waiting calls as the window allows. The caller holds g.mu.
func (g *Gate) admit(s ServiceCapacity) {
	for len(g.waiting) > 0 && g.open < g.window.Size(s, g.open, time.Now()) {
		close(g.waiting[0].admitted)
		g.waiting = g.waiting[1:]
		g.open++
	}
}
