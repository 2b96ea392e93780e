package agent

import (
	"sync"

	"github.com/google/uuid"
)

// incarnation is the random number that requests name when they rely on the
// agent's memory of keys. When that memory has filled, the agent takes another
// number; requests that name the one before are still served, since its keys
// are remembered too, and those that name an older one are refused.
type incarnation struct {
	// hold is read-locked while a request is checked and takes effect, so that
	// the number does not change in between.
	hold    sync.RWMutex
	mu      sync.Mutex
	current string
	earlier string
}

func (i *incarnation) now() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current
}

// is says whether a request that names that incarnation may rely on the
// agent's memory; a request that names none does not.
func (i *incarnation) is(named string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return named == "" || named == i.current || named == i.earlier
}

// renew takes another incarnation, before its memory of keys is full.
func (a *Agent) renew() {
	a.incarnation.hold.Lock()
	defer a.incarnation.hold.Unlock()
	a.incarnation.mu.Lock()
	a.incarnation.earlier = a.incarnation.current
	a.incarnation.current = uuid.NewString()
	a.incarnation.mu.Unlock()
	a.results.Turn()
	a.log.Info("agent takes another incarnation, since its memory of keys has filled")
	a.changed.Fire()
}
