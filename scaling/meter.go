package scaling

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Target is a service in an availability zone: the unit that is scaled.
type Target struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
}

// TableLoads holds the load of each process that sends to an autoscaled service: one row
// for each process, in a part for each availability zone.
const TableLoads = "scaling_loads"

const (
	// sampleInterval is the time between two samples of the slots in use.
	sampleInterval = 500 * time.Millisecond
	// writeInterval is the time between two writes of the mean of the samples. It is short
	// compared with the start of an endpoint, which takes several times as long.
	writeInterval = 2 * time.Second
	// maxLoadAge is the age above which a row is ignored: its process has stopped, or it
	// cannot reach the store.
	maxLoadAge = 3 * writeInterval
	// removeLoadAge is the age above which a row is deleted.
	removeLoadAge = time.Minute
)

// loadRow is the row of a process in TableLoads.
type loadRow struct {
	// At is when the row was written, by the store's clock.
	At time.Duration `cbor:"1,keyasint"`
	// Busy is the mean load for each target.
	Busy []targetLoad `cbor:"2,keyasint"`
}

type targetLoad struct {
	Target Target  `cbor:"1,keyasint"`
	Slots  float64 `cbor:"2,keyasint"`
}

// Meter counts the slots that the requests of a process use or wait for. It is safe
// for concurrent use.
type Meter struct {
	mu      sync.Mutex
	current map[Target]int
	sums    map[Target]int
	samples int // number of samples in sums
}

// NewMeter returns a Meter that counts no requests yet.
func NewMeter() *Meter { return &Meter{current: map[Target]int{}, sums: map[Target]int{}} }

// Begin counts a request until end is called. end must be called exactly once.
func (m *Meter) Begin(p Target) (end func()) {
	m.add(p, 1)
	return func() { m.add(p, -1) }
}

func (m *Meter) add(p Target, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current[p] += n
	if m.current[p] == 0 {
		delete(m.current, p)
	}
}

// sample takes a sample of the counted requests and of extra.
func (m *Meter) sample(extra map[Target]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	for p, n := range m.current {
		m.sums[p] += n
	}
	for p, n := range extra {
		m.sums[p] += n
	}
}

// take returns the means of the samples since its last call.
func (m *Meter) take() []targetLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	var means []targetLoad
	for p, sum := range m.sums {
		means = append(means, targetLoad{p, float64(sum) / float64(m.samples)})
	}
	m.samples, m.sums = 0, map[Target]int{}
	return means
}

// Writer writes the load of a process to TableLoads while there is any.
type Writer struct {
	Rows  store.Rows
	Meter *Meter
	// Extra returns load that Meter does not count, such as queued items. It may be nil.
	Extra func() map[Target]int
	// Autoscaled reports whether a service is autoscaled.
	Autoscaled func(service string) bool
	Now        func() (time.Duration, bool)
	// Zone is the availability zone of this process, Name is the name of the process.
	Zone, Name string
	Log        logrus.FieldLogger

	// wroteLoad is set if the last row that was written contains a load.
	wroteLoad bool
}

// Run samples and writes the load until ctx is cancelled.
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

// write writes the mean load since the last write. A delayed write that overwrites a
// newer row is harmless: the row then counts as old.
func (w *Writer) write(ctx context.Context) {
	var scaled []targetLoad
	for _, b := range w.Meter.take() {
		if w.Autoscaled(b.Target.Service) {
			scaled = append(scaled, b)
		}
	}
	now, ok := w.Now()
	if !ok || (len(scaled) == 0 && !w.wroteLoad) {
		return
	}
	value, err := codec.Marshal(loadRow{At: now, Busy: scaled})
	if err == nil {
		_, err = w.Rows.Commit(ctx, store.Tx{Put: []store.Row{{Key: store.Key{Table: TableLoads, Part: w.Zone, Name: w.Name}, Value: value}}})
	}
	if err != nil {
		w.Log.WithError(err).Warn("load not written")
		return
	}
	w.wroteLoad = len(scaled) > 0
}
