package tablesync

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/tablestore"
)

// Defaults of PollerConfig.
const (
	DefaultReadsPerSecond = 100.0
	DefaultMinInterval    = time.Second
	DefaultMaxInterval    = 10 * time.Second
	DefaultReadTimeout    = 5 * time.Second
	DefaultMaxBackoff     = 30 * time.Second
)

// jitterShare is the fraction by which an interval is randomly shortened or lengthened,
// so that pollers that started together do not stay in step.
const jitterShare = 0.25

// Reader reads versions of the table; *tablestore.Store implements it.
type Reader interface {
	Current(ctx context.Context) (tablestore.Entry, error)
	Version(ctx context.Context, n uint64) (tablestore.Document, error)
}

// PollerConfig configures a Poller. Durations and rates that are zero or negative take the
// defaults.
type PollerConfig struct {
	Reader Reader
	Holder *Holder
	// Entries returns the estimated number of polling entries, including this one.
	Entries func() int
	// ReadsPerSecond is the rate at which all entries together read the current version.
	ReadsPerSecond float64
	MinInterval    time.Duration
	MaxInterval    time.Duration
	ReadTimeout    time.Duration
	// MaxBackoff bounds the interval while reads fail.
	MaxBackoff time.Duration
	// Rand is the source of the jitter; nil selects the global source of math/rand/v2.
	Rand *rand.Rand
	Log  logrus.FieldLogger
}

// PollerStats holds the counters of a Poller.
type PollerStats struct {
	Reads    int64 `json:"reads"`
	Failures int64 `json:"failures"`
	// Older counts stale reads: they returned an older version than the one in force.
	Older    int64 `json:"older"`
	Installs int64 `json:"installs"`
	// Rejected counts versions that could not be installed.
	Rejected int64 `json:"rejected"`
}

// Poller polls the table service. The interval grows with the number of entries, so
// that the total read rate stays bounded. A version that one entry reads reaches the
// others through Spread.
type Poller struct {
	config PollerConfig
	// respondedAt is when the table service last responded, nil before the first response.
	respondedAt atomic.Pointer[time.Time]

	mu    sync.Mutex
	stats PollerStats
}

// NewPoller returns a Poller that makes no reads before Run or Poll.
func NewPoller(c PollerConfig) *Poller {
	setDefault(&c.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&c.MinInterval, DefaultMinInterval)
	setDefault(&c.MaxInterval, DefaultMaxInterval)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	return &Poller{config: c}
}

func setDefault[T float64 | int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Interval returns the time between two reads of each entry at which all entries
// together make readsPerSecond reads. It is bounded by low and high.
func Interval(entries int, readsPerSecond float64, low, high time.Duration) time.Duration {
	seconds := float64(entries) / readsPerSecond
	if seconds >= high.Seconds() {
		return high
	}
	return max(low, time.Duration(math.Round(seconds*float64(time.Second))))
}

// Backoff returns the delay after a number of consecutive failures: the interval,
// doubled for each failure after the first, up to high.
func Backoff(interval time.Duration, failures int, high time.Duration) time.Duration {
	for range failures - 1 {
		interval *= 2
		if interval >= high {
			return high
		}
	}
	return interval
}

// Run polls until ctx is cancelled.
func (p *Poller) Run(ctx context.Context) {
	failures := 0
	for {
		if err := p.Poll(ctx); err == nil {
			failures = 0
		} else {
			failures++
		}
		c := &p.config
		wait := Interval(c.Entries(), c.ReadsPerSecond, c.MinInterval, c.MaxInterval)
		wait = p.jitter(Backoff(wait, failures, c.MaxBackoff))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (p *Poller) jitter(d time.Duration) time.Duration {
	random := rand.Float64
	if p.config.Rand != nil {
		random = p.config.Rand.Float64
	}
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*random()))
}

// Poll reads once and installs a newer version. It returns an error if the read failed
// or the version could not be installed.
func (p *Poller) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.ReadTimeout)
	defer cancel()
	installed, err := p.poll(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	if installed {
		p.stats.Installs++
	}
	if err == nil {
		return nil
	}
	p.stats.Failures++
	p.config.Log.WithError(err).WithField("version", p.config.Holder.Version()).Warn("reading the table failed")
	return err
}

func (p *Poller) poll(ctx context.Context) (installed bool, err error) {
	entry, err := p.config.Reader.Current(ctx)
	if err != nil && !errors.Is(err, tablestore.ErrNoTable) {
		return false, err
	}
	now := time.Now()
	p.respondedAt.Store(&now)
	have := p.config.Holder.Version()
	if entry.Version <= have {
		p.countStaleRead(entry.Version < have)
		return false, nil
	}
	doc, err := p.config.Reader.Version(ctx, entry.Version)
	if err != nil {
		return false, err
	}
	installed, err = p.config.Holder.Install(doc.Wire())
	if err != nil {
		p.mu.Lock()
		p.stats.Rejected++
		p.mu.Unlock()
	}
	return installed, err
}

func (p *Poller) countStaleRead(older bool) {
	if !older {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Older++
}

// Age returns the time since the last response of the table service, and false before
// the first one.
func (p *Poller) Age(now time.Time) (time.Duration, bool) {
	at := p.respondedAt.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// Stats returns the current counters.
func (p *Poller) Stats() PollerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}
