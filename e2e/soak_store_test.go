package e2e

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	fleetview "mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/platform/metastore/standin"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

// storeMode selects how the store answers the processes.
type storeMode int

// Modes of the store. Engines and trainers write to it in storeServes and
// storeLimited only.
const (
	storeServes  storeMode = iota
	storeLimited           // answers every other call with 429
	storeRefuses           // answers every call with 503
	storeHangs             // never answers
	storeResets            // aborts connections
)

// soakStore is the platform's store as the processes reach it, with fault injection.
type soakStore struct {
	rows    *rowstore.Store
	handler http.Handler

	mu    sync.Mutex
	mode  storeMode
	calls int
}

func newSoakStore() *soakStore {
	rows := rowstore.New()
	return &soakStore{rows: rows, handler: standin.New(rows)}
}

func (s *soakStore) set(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// unavailable reports whether the store serves no caller.
func (s *soakStore) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode != storeServes && s.mode != storeLimited
}

// put writes a row as the platform does. err is the error of encoding the row, which never
// fails for the soak's rows; put panics if it does.
func (s *soakStore) put(row store.Row, err error) {
	if err != nil {
		panic(err)
	}
	s.rows.Put(row)
}

// ServeHTTP implements http.Handler.
func (s *soakStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.calls++
	odd := s.calls%2 == 1
	s.mu.Unlock()
	switch {
	case mode == storeLimited && odd:
		w.WriteHeader(http.StatusTooManyRequests)
	case mode == storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case mode == storeHangs:
		<-r.Context().Done()
	case mode == storeResets:
		panic(http.ErrAbortHandler)
	default:
		s.handler.ServeHTTP(w, r)
	}
}

// registry keeps the engines' registrations in the store. They expire after three missed
// heartbeats, sometimes also while the store is unavailable.
type registry struct {
	store *soakStore
	rng   *rand.Rand

	mu            sync.Mutex
	lastHeartbeat map[string]time.Time
}

// heartbeat writes an instance's registration, unless the store is unavailable.
func (g *registry) heartbeat(i fleetview.Instance, heartbeats uint64) {
	if g.store.unavailable() {
		return
	}
	g.mu.Lock()
	g.lastHeartbeat[i.ID] = time.Now()
	g.mu.Unlock()
	g.store.put(operator.InstanceRow(i, heartbeats))
}

// writeForeignRow writes a row as another writer would: under an id of its own, or over an
// engine's registration until that engine's next heartbeat.
func (g *registry) writeForeignRow(rng *rand.Rand) {
	g.mu.Lock()
	ids := slices.Sorted(maps.Keys(g.lastHeartbeat))
	g.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	id := ids[rng.IntN(len(ids))]
	if rng.IntN(2) == 0 {
		id = fmt.Sprint("i-foreign-", rng.IntN(5))
		g.mu.Lock()
		g.lastHeartbeat[id] = time.Now() // so that it expires
		g.mu.Unlock()
	}
	values := []string{
		"", "\xff\x00", `{}`, `null`, `[1]`, `{"Service":"` + serviceEngines + `"}`,
		`{"Service":7,"Address":{},"State":"ready"}`,
		`{"Service":"unheard","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":99,"State":"ready","ColdLeftMs":0,"Sequence":1}`,
		`{"Service":"` + serviceDesk + `","Address":"127.0.0.1:9","Zone":"z","Version":"v1","Slots":99,"State":"warming","ColdLeftMs":0,"Sequence":1}`,
	}
	g.store.put(store.Row{Key: operator.InstanceKey(id), Value: []byte(values[rng.IntN(len(values))])}, nil)
}

// remove deletes a registration at once.
func (g *registry) remove(id string) {
	g.mu.Lock()
	delete(g.lastHeartbeat, id)
	g.mu.Unlock()
	g.store.rows.Remove(operator.InstanceKey(id))
}

// removeExpired deletes the registrations of engines that missed three heartbeats, until stop
// is closed.
func (g *registry) removeExpired(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
		if g.store.unavailable() && g.rng.IntN(2) == 0 {
			continue
		}
		g.mu.Lock()
		var silent []string
		for id, at := range g.lastHeartbeat {
			if time.Since(at) > 3*soakHeartbeat {
				silent = append(silent, id)
			}
		}
		g.mu.Unlock()
		for _, id := range silent {
			g.remove(id)
		}
	}
}
