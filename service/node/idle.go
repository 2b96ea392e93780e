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
	// idleCheckInterval is how often connections are checked for the idle timeout.
	idleCheckInterval = time.Second
	// defaultIdleTimeout applies until a configuration sets an idle timeout.
	defaultIdleTimeout = time.Minute
)

// idleConns closes clients' connections that have been idle for longer than the
// configuration in force allows. The server's own idle timeout cannot change while
// it runs, and one shorter than the operator's would disconnect clients too early.
type idleConns struct {
	view *fleet.View

	mu sync.Mutex
	// since is the time at which each idle connection became idle.
	since map[net.Conn]time.Time
}

func newIdleConns(view *fleet.View) *idleConns {
	return &idleConns{view: view, since: map[net.Conn]time.Time{}}
}

// changed records a connection's state; it is the server's ConnState hook.
func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// limit returns the idle timeout in force.
func (i *idleConns) limit() time.Duration {
	if c := i.view.Snapshot().Config; c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

// run closes connections that exceed the idle timeout, until ctx is cancelled.
func (i *idleConns) run(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
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
