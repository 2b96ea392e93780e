package agent

import (
	"sync"

	"github.com/google/uuid"
)

// incarnation is the random id that requests name if they rely on the agent's memory
// of keys. When that memory has filled, the agent takes a new id. Requests that name
// the previous id are still served, since the keys of both are remembered; those that
// name an older one are refused.
type incarnation struct {
	// renewMu is read-locked while a request is checked and takes effect, so that the
	// id does not change in between.
	renewMu  sync.RWMutex
	mu       sync.Mutex
	current  string
	previous string
}

func (i *incarnation) get() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// accepts reports whether a request that names the given incarnation can be served. A
// request that names none does not rely on the agent's memory and is always accepted.
func (i *incarnation) accepts(named string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return named == "" || named == i.current || named == i.previous
}

// renewIncarnation takes a new incarnation id, before the memory of keys is full, and
// drops the keys of the one before the previous.
func (a *Agent) renewIncarnation() {
	a.incarnation.renewMu.Lock()
	defer a.incarnation.renewMu.Unlock()
	a.incarnation.mu.Lock()
	a.incarnation.previous = a.incarnation.current
	a.incarnation.current = uuid.NewString()
	a.incarnation.mu.Unlock()
	a.results.NextIncarnation()
	a.log.Info("memory of keys is nearly full; agent takes a new incarnation")
	a.changed.Fire()
}
