// Package limits admits requests by the limits of their row. A limit applies to all
// entry instances together, without a central counter: each entry enforces its share
// of the limit, and shares follow the demand, which the entries exchange by gossip.
package limits

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryscale.example/api"
	"mulberryscale.example/table"
)

// burstTime times a rate is its burst, the amount that may be used at once.
const burstTime = time.Second

// Exceeded says which limit refused a request, and after how long to retry.
type Exceeded struct {
	Code       api.Code
	RetryAfter time.Duration
}

// Set holds the limiters of all rows at one entry. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	rows  map[string]*rowLimiter
	share map[string]float64
	// fallback is the share of rows that are not in share.
	fallback float64
	rng      *rand.Rand
}

// NewSet returns limiters that enforce the whole limits until SetShares is called.
func NewSet() *Set { return NewSeededSet(rand.Uint64()) }

// NewSeededSet is NewSet with a seed for the random rounding; see ConcurrencyShare.
func NewSeededSet(seed uint64) *Set {
	return &Set{rows: map[string]*rowLimiter{}, fallback: 1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// rowLimiter is one row's state at this entry.
type rowLimiter struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	limited  bool // the row has a limit
	// seen counts requests, admitted or not, since the last MeasureDemand.
	seen int
	// demand is the smoothed rate of requests a second, admitted or not.
	demand float64
	// rounding is a random number in [0, 1) that decides how this entry's part of a
	// concurrency limit is rounded; it is renewed every roundingInterval.
	rounding   float64
	roundingAt time.Time
}

// Ticket is an admitted request. Done must be called exactly once.
type Ticket struct {
	set *Set
	row string
}

// SetShares sets this entry's share of each row's limits, 0 < share <= 1, and
// the share of rows that are not named.
func (s *Set) SetShares(share map[string]float64, fallback float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.fallback = fallback
}

// Admit admits a request and counts it as running, or returns the limit that it exceeds.
func (s *Set) Admit(row *table.Row, now time.Time) (*Ticket, *Exceeded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareOf(row.Name)
	l := s.limiter(row, share, now)
	l.seen++
	s.renewRounding(l, now)
	if row.MaxConcurrency > 0 && l.running >= ConcurrencyShare(row.MaxConcurrency, share, s.fallback, l.rounding) {
		return nil, &Exceeded{Code: api.CodeConcurrency, RetryAfter: burstTime}
	}
	if l.tokens.Limit() != rate.Inf && l.tokens.TokensAt(now) < 1 {
		return nil, &Exceeded{Code: api.CodeRateLimited, RetryAfter: waitFor(l.tokens, now)}
	}
	if !l.requests.AllowN(now, 1) {
		return nil, &Exceeded{Code: api.CodeRateLimited, RetryAfter: waitFor(l.requests, now)}
	}
	l.running++
	return &Ticket{set: s, row: row.Name}, nil
}

// Done marks the request as completed and charges its generated tokens.
func (t *Ticket) Done(tokens int, now time.Time) {
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	l := t.set.rows[t.row]
	l.running--
	charge(l.tokens, tokens, now)
}

// charge takes tokens that were already generated; the limiter may go into debt.
func charge(l *rate.Limiter, tokens int, now time.Time) {
	if l.Limit() == rate.Inf {
		return
	}
	burst := max(l.Burst(), 1)
	for tokens > 0 {
		n := min(tokens, burst)
		l.ReserveN(now, n)
		tokens -= n
	}
}

// waitFor returns the time until a limiter has one token again.
func waitFor(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	if missing <= 0 || l.Limit() <= 0 {
		return burstTime
	}
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

// smoothing is the weight of the newest interval in the smoothed demand.
const smoothing = 0.3

// MeasureDemand adds the requests since the last call, elapsed ago, to the smoothed demand,
// and returns Demand.
func (s *Set) MeasureDemand(elapsed time.Duration) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.rows {
		rate := float64(l.seen) / elapsed.Seconds()
		l.demand += smoothing * (rate - l.demand)
		l.seen = 0
	}
	return s.demand()
}

// Demand returns the smoothed demand of each row that has limits, in requests a second,
// admitted or not.
func (s *Set) Demand() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand()
}

func (s *Set) demand() map[string]float64 {
	demand := make(map[string]float64, len(s.rows))
	for name, l := range s.rows {
		if l.limited && l.demand >= minDemand {
			demand[name] = l.demand
		}
	}
	return demand
}

func (s *Set) shareOf(row string) float64 {
	if share, ok := s.share[row]; ok {
		return share
	}
	return s.fallback
}

// limiter returns the row's limiter, updated to the row's current limits.
func (s *Set) limiter(row *table.Row, share float64, now time.Time) *rowLimiter {
	l, ok := s.rows[row.Name]
	if !ok {
		l = &rowLimiter{requests: newLimiter(row.MaxRPS, share), tokens: newLimiter(row.MaxTPS, share)}
		s.rows[row.Name] = l
	}
	l.limited = row.MaxRPS > 0 || row.MaxTPS > 0 || row.MaxConcurrency > 0
	if !ok {
		return l
	}
	setLimit(l.requests, row.MaxRPS, share, now)
	setLimit(l.tokens, row.MaxTPS, share, now)
	return l
}

func newLimiter(perSecond, share float64) *rate.Limiter {
	limit, burst := limitOf(perSecond, share)
	return rate.NewLimiter(limit, burst)
}

func setLimit(l *rate.Limiter, perSecond, share float64, now time.Time) {
	limit, burst := limitOf(perSecond, share)
	if l.Limit() == limit {
		return
	}
	l.SetLimitAt(now, limit)
	l.SetBurstAt(now, burst)
}

// limitOf returns this entry's part of a limit and its burst; 0 a second means no limit.
func limitOf(perSecond, share float64) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 0
	}
	part := perSecond * share
	burst := int(math.Ceil(part * burstTime.Seconds()))
	return rate.Limit(part), max(1, burst)
}

// roundingInterval is how long a random rounding is kept.
const roundingInterval = 10 * time.Second

func (s *Set) renewRounding(l *rowLimiter, now time.Time) {
	if l.roundingAt.IsZero() || now.Sub(l.roundingAt) >= roundingInterval {
		l.rounding = s.rng.Float64()
		l.roundingAt = now
	}
}

// ConcurrencyShare returns an entry's part of a concurrency limit; even is 1 over the
// number of entries and rounding is random in [0, 1). If there are at least as many slots
// as entries, each entry gets at least one, so that no entry refuses a row entirely; n
// entries can then run n-1 requests above the limit. If there are fewer slots, the part
// is rounded up with a probability equal to its fraction, so that the parts of all
// entries sum to the limit on average.
func ConcurrencyShare(limit int, share, even, rounding float64) int {
	part := float64(limit) * share
	if float64(limit)*even >= 1 {
		return max(1, int(part))
	}
	whole := math.Floor(part)
	if rounding < part-whole {
		whole++
	}
	return int(whole)
}
