package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryscale.example/fleet"
)

const (
	// idleCheck is how often idle connections are looked at.
	idleCheck = time.Second
	// defaultIdle holds until a configuration names an idle time.
	defaultIdle = time.Minute
)

// idleConns closes clients' connections that have been idle for longer than the
// configuration in force allows. The server's own idle time cannot change while
// it runs, and one that is shorter than the operator's would cut clients off.
type idleConns struct {
	view *fleet.View

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns(view *fleet.View) *idleConns {
	return &idleConns{view: view, since: map[net.Conn]time.Time{}}
}

// changed is the server's hook.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// limit is the idle time in force.
func (i *idleConns) limit() time.Duration {
	if c := i.view.Snapshot().Config; c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdle
}

// run closes what was idle for too long until ctx ends.
func (i *idleConns) run(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.close(now)
		}
	}
}

func (i *idleConns) close(now time.Time) {
	limit := i.limit()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			c.Close()
		}
	}
}
