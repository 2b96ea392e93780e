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

// jitterShare is how far an interval is shortened or lengthened at random, so
// that pollers that started together come apart.
const jitterShare = 0.25

// Reader reads versions; *tablestore.Store is one.
type Reader interface {
	Current(ctx context.Context) (tablestore.Entry, error)
	Version(ctx context.Context, n uint64) (tablestore.Document, error)
}

// PollerConfig configures a Poller. Zero durations and rates take the defaults.
type PollerConfig struct {
	Reader Reader
	Holder *Holder
	// Entries is how many entries are believed to poll, this one included.
	Entries func() int
	// ReadsPerSecond is what all entries together read of what is current.
	ReadsPerSecond float64
	MinInterval    time.Duration
	MaxInterval    time.Duration
	ReadTimeout    time.Duration
	// MaxBackoff bounds the interval while the table service does not answer.
	MaxBackoff time.Duration
	// Rand draws the jitter; nil draws from the runtime's source.
	Rand *rand.Rand
	Log  logrus.FieldLogger
}

// PollerStats counts what a Poller did.
type PollerStats struct {
	Reads    int64 `json:"reads"`
	Failures int64 `json:"failures"`
	// Older counts reads that showed an older version than the one in force.
	Older    int64 `json:"older"`
	Installs int64 `json:"installs"`
	// Rejected counts versions that could not be installed.
	Rejected int64 `json:"rejected"`
}

// Poller reads the table service sparsely: the more entries there are, the more
// rarely each of them asks, so that their reads together stay bounded. What one
// of them finds reaches the others by Spread.
type Poller struct {
	config PollerConfig
	// answeredAt is when the table service last answered, nil before the first time.
	answeredAt atomic.Pointer[time.Time]

	mu    sync.Mutex
	stats PollerStats
}

// NewPoller returns a poller that does nothing until Run or Poll.
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

// Interval is how long each of a number of entries waits between two reads so
// that all of them together make readsPerSecond.
func Interval(entries int, readsPerSecond float64, low, high time.Duration) time.Duration {
	seconds := float64(entries) / readsPerSecond
	if seconds >= high.Seconds() {
		return high
	}
	return max(low, time.Duration(math.Round(seconds*float64(time.Second))))
}

// Backoff is the wait after a number of failures in a row: the interval,
// doubled for each failure after the first and bounded.
func Backoff(interval time.Duration, failures int, high time.Duration) time.Duration {
	for range failures - 1 {
		interval *= 2
		if interval >= high {
			return high
		}
	}
	return interval
}

// Run polls until ctx ends.
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

// Poll reads once, and installs a newer version. An error says that the table
// service did not answer or that its version could not be installed.
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
	p.answeredAt.Store(&now)
	have := p.config.Holder.Version()
	if entry.Version <= have {
		p.countOlder(entry.Version < have)
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

func (p *Poller) countOlder(older bool) {
	if !older {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Older++
}

// Age is how long ago the table service last answered; false when it never did.
func (p *Poller) Age(now time.Time) (time.Duration, bool) {
	at := p.answeredAt.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// Stats returns the counts so far.
func (p *Poller) Stats() PollerStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}
