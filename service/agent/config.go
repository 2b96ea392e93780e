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

// Config configures an agent. Durations and limits that are zero take their
// defaults.
type Config struct {
	// ID is the agent's instance id, which its certificate names too. Zone is its
	// availability zone.
	ID   string
	Zone string
	// Incarnation is the first incarnation id; a random one is used when it is empty.
	Incarnation string
	// Listener accepts streams from the service's other processes. Dialer connects to
	// them, to pull the table; it may be nil.
	Listener transport.Listener
	Dialer   transport.Dialer
	// Exactly one of Engine and Service is set.
	Engine  endpoint.Engine
	Service endpoint.Service
	// Services lists the rows that Service serves.
	Services []string
	// Models lists models to load as soon as a version of them is published, in
	// addition to those that the engine already has.
	Models []string
	Holder *tablesync.Holder
	// Targets returns the newest published versions, and Fencer issues the fencing
	// numbers of orders. Unless both are set, the agent orders no weights.
	Targets Targets
	Fencer  Fencer
	// Instances lists the other agents, which are notified of new versions. Weights is
	// the store from which parts are read that no peer has. With both, a version is
	// only ordered after all its parts have been fetched and checked.
	Instances platform.InstanceList
	Weights   platform.WeightStore
	Logger    *logrus.Logger
	Counters  *observe.Counters
	// Seed seeds the jitter, to make it repeatable; 0 means a random seed.
	Seed uint64

	// InteractiveReserve is the number of slots that training may not use while
	// interactive rows are active, in addition to preemption.
	InteractiveReserve int
	// NoPreemption disables preemption: an interactive request then waits until a
	// running sample finishes.
	NoPreemption bool
	// MaxQueue is the largest number of queued requests of all rows together.
	MaxQueue int
	// ServiceConcurrency is the number of calls that a plain service runs concurrently.
	ServiceConcurrency int
	// MaxRequestBytes limits the size of a request: its keys with its prompt and prefix,
	// or with its path, header and body. MaxAnswerBytes limits the size of an answer.
	MaxRequestBytes int
	MaxAnswerBytes  int
	// MaxResultBytes limits the total size of retained results.
	MaxResultBytes int
	// MaxKeys limits the number of keys remembered in one incarnation; see results.Options.
	MaxKeys int
	// Budget is the time limit of a request when neither it nor its row has one.
	Budget time.Duration

	// HandOverTimeout is how long a drain waits until clients have fetched the finished
	// results.
	HandOverTimeout time.Duration
	// PollInterval is the time between two status requests to the engine, and
	// PollTimeout the time limit of each.
	PollInterval time.Duration
	PollTimeout  time.Duration
	// StallTimeout is how long the engine's status requests may keep failing before
	// its running streams are cancelled.
	StallTimeout time.Duration
	// TargetInterval is the shortest time between two polls of Targets, before jitter.
	// StoreReads is the number of polls a second of all known agents together.
	TargetInterval time.Duration
	StoreReads     float64
	// FetchTimeout is the time limit of one attempt to fetch all parts of a version.
	FetchTimeout time.Duration
	// SwapWindow is the time over which a rolling swap spreads the engines' orders.
	SwapWindow time.Duration
	// FenceFreshness is the maximum age of this agent's last check of its fencing number
	// when an order goes to an engine that does not check the number itself.
	FenceFreshness time.Duration
	// LoadTimeout is the time limit of an order, and of a load that the engine reports.
	LoadTimeout time.Duration
	// SettleTime is how long after an order the engine's status may still show the old
	// weights.
	SettleTime time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed order.
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
