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

// storeMode is how the store answers all processes.
type storeMode int

// Modes of the store. Engines and trainers write to it in storeServes and
// storeLimited only.
const (
	storeServes  storeMode = iota
	storeLimited           // refuses every other call for its rate
	storeRefuses           // refuses all
	storeHangs             // gives no answer
	storeResets            // breaks connections
)

// soakStore is the platform's store, as all processes reach it.
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

// away says whether the store serves nobody.
func (s *soakStore) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode != storeServes && s.mode != storeLimited
}

// put writes a row as the platform does, with the error of its encoding, which
// never fails for what the soak writes.
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

// registry keeps the engines' entries in the store: they lapse after three
// heartbeats of silence, at times also while the store is away.
type registry struct {
	store *soakStore
	rng   *rand.Rand

	mu    sync.Mutex
	heard map[string]time.Time
}

// beat takes in an instance's heartbeat, unless the store is away.
func (g *registry) beat(i fleetview.Instance, beats uint64) {
	if g.store.away() {
		return
	}
	g.mu.Lock()
	g.heard[i.ID] = time.Now()
	g.mu.Unlock()
	g.store.put(operator.InstanceRow(i, beats))
}

// foreign writes an entry of another writer, under an id of its own or in the
// place of an engine's, until that one's next heartbeat.
func (g *registry) foreign(rng *rand.Rand) {
	g.mu.Lock()
	ids := slices.Sorted(maps.Keys(g.heard))
	g.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	id := ids[rng.IntN(len(ids))]
	if rng.IntN(2) == 0 {
		id = fmt.Sprint("i-foreign-", rng.IntN(5))
		g.mu.Lock()
		g.heard[id] = time.Now() // lapses
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

// remove takes an entry out at once.
func (g *registry) remove(id string) {
	g.mu.Lock()
	delete(g.heard, id)
	g.mu.Unlock()
	g.store.rows.Remove(operator.InstanceKey(id))
}

// lapse takes out the entries of engines that were silent for too long.
func (g *registry) lapse(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakHeartbeat):
		}
		if g.store.away() && g.rng.IntN(2) == 0 {
			continue
		}
		g.mu.Lock()
		var silent []string
		for id, at := range g.heard {
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
