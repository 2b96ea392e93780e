package background

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Gate lets calls to one service through, as many at a time as its window
// allows and the most urgent first. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	window  Window
	open    int
	waiting []*waiter // in the order in which they are let through
}

type waiter struct {
	rank time.Duration
	pass chan struct{} // closed when it is let through
}

// Enter waits until a call may begin; calls of a lower rank go first, those of
// one rank in order of arrival. After nil, Leave must be called.
func (g *Gate) Enter(ctx context.Context, rank time.Duration, s ServiceCapacity) error {
	g.mu.Lock()
	w := &waiter{rank: rank, pass: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), -1) // behind those of its rank
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	g.admit(s)
	g.mu.Unlock()
	select {
	case <-w.pass:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if at := slices.Index(g.waiting, w); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
		return context.Cause(ctx)
	}
	g.end(s) // it was let through just now
	return context.Cause(ctx)
}

// Leave says that a call has ended, after what it told has been noted.
func (g *Gate) Leave(s ServiceCapacity, note func(w *Window, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	note(&g.window, time.Now())
	g.end(s)
}

func (g *Gate) end(s ServiceCapacity) {
	g.open--
	g.window.CallDone(g.open, time.Now())
	g.admit(s)
}

// admit lets through what the window allows. It is called with g.mu held.
func (g *Gate) admit(s ServiceCapacity) {
	for len(g.waiting) > 0 && g.open < g.window.Size(s, g.open, time.Now()) {
		close(g.waiting[0].pass)
		g.waiting = g.waiting[1:]
		g.open++
	}
}
