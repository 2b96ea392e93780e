package agent

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/weights"
)

// Defaults of Config.
const (
	DefaultServiceConcurrency = 64
	DefaultMaxQueue           = 1024
	DefaultMaxRequestBytes    = 4 << 20
	DefaultMaxAnswerBytes     = 8 << 20
	DefaultBudget             = 10 * time.Minute
	DefaultPollInterval       = 500 * time.Millisecond
	DefaultPollTimeout        = 2 * time.Second
	DefaultStallTimeout       = 5 * time.Second
	DefaultTargetInterval     = 5 * time.Second
	DefaultLoadTimeout        = time.Minute
	DefaultFetchTimeout       = 5 * time.Minute
	DefaultFenceFreshness     = time.Second
	DefaultSettleTime         = 2 * time.Second
	DefaultMinBackoff         = 500 * time.Millisecond
	DefaultMaxBackoff         = 15 * time.Second
	DefaultHandOverTimeout    = 5 * time.Second
	DefaultRetryAfter         = time.Second
)

// Config is what an agent is made of. Zero values of durations and limits mean
// their defaults.
type Config struct {
	// ID is the agent's instance id, as in its certificate, and Zone its availability zone.
	ID   string
	Zone string
	// Incarnation is drawn at random when empty.
	Incarnation string
	// Listener serves our processes; Dialer pulls the table from them, and may be nil.
	Listener transport.Listener
	Dialer   transport.Dialer
	// Exactly one of Engine and Service is set.
	Engine  endpoint.Engine
	Service endpoint.Service
	// Services are the rows of the plain services that Service serves.
	Services []string
	// Models are loaded as soon as a version is published, besides those
	// that the engine has already.
	Models []string
	Holder *tablesync.Holder
	// Targets tells the newest published weights and Fencer gives fencing
	// numbers for orders. Without both, the agent orders no weights.
	Targets Targets
	Fencer  Fencer
	// Instances names the other agents, to whom news of weights is passed on,
	// and Weights is where parts come from that no peer has. With both, an
	// order goes out when all parts of its version were fetched and checked.
	Instances platform.InstanceList
	Weights   platform.WeightStore
	Logger    *logrus.Logger
	Counters  *observe.Counters
	// Seed makes the jitter repeatable; 0 draws one.
	Seed uint64

	// InteractiveReserve is how many slots stay free of training while
	// interactive rows are active, on top of what preemption gives them.
	InteractiveReserve int
	// NoPreemption lets interactive requests wait for the end of a sample.
	NoPreemption bool
	// MaxQueue bounds the waiting requests of all rows.
	MaxQueue int
	// ServiceConcurrency is how many calls of a plain service run at once.
	ServiceConcurrency int
	// MaxRequestBytes bounds a request's prompt or body, MaxAnswerBytes an answer.
	MaxRequestBytes int
	MaxAnswerBytes  int
	// MaxResultBytes bounds the kept results.
	MaxResultBytes int
	// MaxKeys bounds the keys that are remembered for an incarnation; see results.Options.
	MaxKeys int
	// Budget is the deadline of a request that names none.
	Budget time.Duration

	// HandOverTimeout is how long a drain waits for results that nobody has fetched yet.
	HandOverTimeout time.Duration
	// PollInterval is how often the engine is asked for its status, and
	// PollTimeout how long it may take to answer.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// StallTimeout is how long an engine may fail to answer before its
	// running streams are given up.
	StallTimeout time.Duration
	// TargetInterval is how often Targets is asked at most, with jitter, and
	// StoreReads how often a second all agents that are known ask together.
	TargetInterval time.Duration
	StoreReads     float64
	// FetchTimeout bounds one try to fetch all parts of a version.
	FetchTimeout time.Duration
	// SwapWindow is the time over which a rolling swap goes from engine to engine.
	SwapWindow time.Duration
	// FenceFreshness is how old the last check of the own fencing number may be
	// when an order goes to an engine that does not check it.
	FenceFreshness time.Duration
	// LoadTimeout is how long an order may take.
	LoadTimeout time.Duration
	// SettleTime is how long after an order the status may still show the old weights.
	SettleTime time.Duration
	// MinBackoff and MaxBackoff bound the time between failed orders.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (c Config) check() error {
	var errs []error
	if c.ID == "" {
		errs = append(errs, trace.BadParameter("ID is missing"))
	}
	if c.Zone == "" {
		errs = append(errs, trace.BadParameter("Zone is missing"))
	}
	if c.Listener == nil {
		errs = append(errs, trace.BadParameter("Listener is missing"))
	}
	if (c.Engine == nil) == (c.Service == nil) {
		errs = append(errs, trace.BadParameter("exactly one of Engine and Service must be set"))
	}
	return trace.NewAggregate(errs...)
}

func (c Config) withDefaults() Config {
	if c.Holder == nil {
		c.Holder = tablesync.NewHolder()
	}
	if c.Logger == nil {
		c.Logger = observe.Discard()
	}
	if c.Counters == nil {
		c.Counters = observe.NewCounters()
	}
	c.InteractiveReserve = max(c.InteractiveReserve, 0)
	setInt(&c.MaxQueue, DefaultMaxQueue)
	setInt(&c.ServiceConcurrency, DefaultServiceConcurrency)
	setInt(&c.MaxRequestBytes, DefaultMaxRequestBytes)
	setInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDuration(&c.Budget, DefaultBudget)
	setDuration(&c.HandOverTimeout, DefaultHandOverTimeout)
	setDuration(&c.PollInterval, DefaultPollInterval)
	setDuration(&c.PollTimeout, DefaultPollTimeout)
	setDuration(&c.StallTimeout, DefaultStallTimeout)
	setDuration(&c.TargetInterval, DefaultTargetInterval)
	setDuration(&c.FetchTimeout, DefaultFetchTimeout)
	setDuration(&c.SwapWindow, weights.DefaultSwapWindow)
	setDuration(&c.FenceFreshness, DefaultFenceFreshness)
	if c.StoreReads <= 0 {
		c.StoreReads = weights.DefaultStoreReads
	}
	setDuration(&c.LoadTimeout, DefaultLoadTimeout)
	setDuration(&c.SettleTime, DefaultSettleTime)
	setDuration(&c.MinBackoff, DefaultMinBackoff)
	setDuration(&c.MaxBackoff, DefaultMaxBackoff)
	return c
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
