// Package instances is a stand-in for the platform's list of instances, which lags behind the
// actual state, in process and over HTTP.
package instances

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/internal/standin/gate"
	"mulberryscale.example/internal/standin/lagging"
	"mulberryscale.example/internal/standin/respond"
	"mulberryscale.example/platform"
)

// Options configure the list.
type Options struct {
	// Lag is the age of the list that is returned.
	Lag time.Duration
	// Limits are the rate limits; a call above them is refused.
	Limits gate.Limits
}

// List is the stand-in. It implements platform.InstanceList.
type List struct {
	*gate.Gate

	mu      sync.Mutex
	lag     time.Duration
	current map[string]platform.Instance
	history lagging.History[[]platform.Instance]
}

var _ platform.InstanceList = (*List)(nil)

// New returns an empty list.
func New(o Options) *List {
	l := &List{Gate: gate.New(o.Limits), lag: o.Lag, current: make(map[string]platform.Instance)}
	l.history.Record(time.Now(), nil)
	return l
}

// Register adds or replaces an instance. An empty State means live.
func (l *List) Register(i platform.Instance) {
	if i.State == "" {
		i.State = platform.InstanceLive
	}
	l.change(func() { l.current[i.ID] = i })
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.change(func() { delete(l.current, id) })
}

// SetLeaving marks an instance as leaving; an unknown one is ignored.
func (l *List) SetLeaving(id string) {
	l.change(func() {
		i, known := l.current[id]
		if known {
			i.State = platform.InstanceLeaving
			l.current[id] = i
		}
	})
}

// SetLag sets the age of the list that is returned.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// change applies f to the current list and records the result.
func (l *List) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	byID := func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) }
	l.history.Record(time.Now(), slices.SortedFunc(maps.Values(l.current), byID))
}

// Instances implements platform.InstanceList; the list is ordered by id.
func (l *List) Instances(ctx context.Context) ([]platform.Instance, error) {
	var found []platform.Instance
	err := l.Read(ctx, func() error {
		l.mu.Lock()
		defer l.mu.Unlock()
		found = slices.Clone(l.history.At(time.Now().Add(-l.lag)))
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("instances.list: %w", err)
	}
	return found, nil
}

// Apply applies a posted fault.
func (l *List) Apply(f fault.Fault) error {
	if f.Kind == fault.Lag {
		l.SetLag(time.Duration(f.Duration))
		return nil
	}
	return l.Gate.Apply(f)
}

// Handler serves GET /instances, PUT and DELETE /instances/{id} and POST /faults.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serveList)
	mux.HandleFunc("PUT /instances/{id}", l.servePut)
	mux.HandleFunc("DELETE /instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /faults", fault.Handler(l.Apply))
	return mux
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	found, err := l.Instances(r.Context())
	if err != nil {
		respond.PlatformError(w, err)
		return
	}
	respond.JSON(w, http.StatusOK, found)
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if !respond.Read(w, r, &i) {
		return
	}
	i.ID = r.PathValue("id")
	l.Register(i)
	w.WriteHeader(http.StatusNoContent)
}
