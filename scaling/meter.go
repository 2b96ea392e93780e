package scaling

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Target is a service in an availability zone, the subject of an order.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
}

// TableLoads holds a row for each process that sends to a service whose endpoints
// are ordered, in a part for each availability zone: what its requests take.
const TableLoads = "scaling_loads"

const (
	// sampleInterval is how often a process looks at what its requests take.
	sampleInterval = 500 * time.Millisecond
	// writeInterval is how often a process writes the mean of it. A start takes
	// several times as long.
	writeInterval = 2 * time.Second
	// freshTime is how old a row may be that counts: a process that has written one
	// and no further is gone, or has no path to the store.
	freshTime = 3 * writeInterval
	// forgetTime is how old a row is that is removed.
	forgetTime = time.Minute
)

// load is a process's row.
type load struct {
	// At is the store's clock when it was written.
	At time.Duration `cbor:"1,keyasint"`
	// Busy are the mean places that its requests took or waited for.
	Busy []busy `cbor:"2,keyasint"`
}

type busy struct {
	Target Target  `cbor:"1,keyasint"`
	Slots  float64 `cbor:"2,keyasint"`
}

// Meter counts the places that a process's requests take or wait for. It is safe
// for concurrent use.
type Meter struct {
	mu   sync.Mutex
	now  map[Target]int
	sums map[Target]int
	n    int // samples
}

// NewMeter returns a meter without requests.
func NewMeter() *Meter { return &Meter{now: map[Target]int{}, sums: map[Target]int{}} }

// Begin counts a request until end is called, once.
func (m *Meter) Begin(p Target) (end func()) {
	m.add(p, 1)
	return func() { m.add(p, -1) }
}

func (m *Meter) add(p Target, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now[p] += n
	if m.now[p] == 0 {
		delete(m.now, p)
	}
}

// sample adds what is counted now, and what extra tells besides.
func (m *Meter) sample(extra map[Target]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n++
	for p, n := range m.now {
		m.sums[p] += n
	}
	for p, n := range extra {
		m.sums[p] += n
	}
}

// take returns the means since the last call.
func (m *Meter) take() []busy {
	m.mu.Lock()
	defer m.mu.Unlock()
	var means []busy
	for p, sum := range m.sums {
		means = append(means, busy{p, float64(sum) / float64(m.n)})
	}
	m.n, m.sums = 0, map[Target]int{}
	return means
}

// Writer writes a process's load while there is any.
type Writer struct {
	Rows  store.Rows
	Meter *Meter
	// Extra is what is counted elsewhere, such as items that wait; nil is nothing.
	Extra func() map[Target]int
	// Autoscaled reports whether the endpoints of a service are ordered at all.
	Autoscaled func(service string) bool
	Now        func() (time.Duration, bool)
	// Zone is this process's availability zone, Name is its own.
	Zone, Name string
	Log        logrus.FieldLogger

	// wrote says that the last row told of a load.
	wrote bool
}

// Run writes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var extra map[Target]int
		if w.Extra != nil {
			extra = w.Extra()
		}
		w.Meter.sample(extra)
		if n%int(writeInterval/sampleInterval) == 0 {
			w.write(ctx)
		}
	}
}

// write writes the mean load since the last one. A late write of an older row does
// no harm: it is old.
func (w *Writer) write(ctx context.Context) {
	var scaled []busy
	for _, b := range w.Meter.take() {
		if w.Autoscaled(b.Target.Service) {
			scaled = append(scaled, b)
		}
	}
	now, ok := w.Now()
	if !ok || (len(scaled) == 0 && !w.wrote) {
		return
	}
	value, err := codec.Marshal(load{At: now, Busy: scaled})
	if err == nil {
		_, err = w.Rows.Commit(ctx, store.Tx{Put: []store.Row{{Key: store.Key{Table: TableLoads, Part: w.Zone, Name: w.Name}, Value: value}}})
	}
	if err != nil {
		w.Log.WithError(err).Warn("load not written")
		return
	}
	w.wrote = len(scaled) > 0
}
