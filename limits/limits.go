// Package limits admits requests by their row's limits, which hold over all
// entry instances together, without a central counter: each entry enforces its
// share of a limit, and shares follow the demand that entries tell each other.
package limits

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberryscale.example/api"
	"mulberryscale.example/table"
)

// burstTime is how much of a rate may be used at once.
const burstTime = time.Second

// Exceeded says which limit refused a request and when to come back.
type Exceeded struct {
	Code       api.Code
	RetryAfter time.Duration
}

// Set holds the limiters of all rows at one entry. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	rows  map[string]*rowLimiter
	share map[string]float64
	// fallback is the share of rows that have none of their own.
	fallback float64
}

// NewSet returns limiters that enforce whole limits until shares are set.
func NewSet() *Set {
	return &Set{rows: map[string]*rowLimiter{}, fallback: 1}
}

// rowLimiter is one row's state at this entry.
type rowLimiter struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	// seen counts requests, admitted or not, since the last Demand.
	seen int
}

// Ticket is an admitted request. Done must be called once.
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

// Admit counts a request in, or says which limit it exceeds.
func (s *Set) Admit(row *table.Row, now time.Time) (*Ticket, *Exceeded) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.shareOf(row.Name)
	l := s.limiter(row, share, now)
	l.seen++
	if row.MaxConcurrency > 0 && l.running >= ConcurrencyShare(row.MaxConcurrency, share) {
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

// Done counts the request out and charges its generated tokens.
func (t *Ticket) Done(tokens int, now time.Time) {
	t.set.mu.Lock()
	defer t.set.mu.Unlock()
	l := t.set.rows[t.row]
	l.running--
	charge(l.tokens, tokens, now)
}

// charge takes tokens that were already generated, going into debt.
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

// waitFor is the time until a limiter has one token again.
func waitFor(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	if missing <= 0 || l.Limit() <= 0 {
		return burstTime
	}
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

func (s *Set) shareOf(row string) float64 {
	if share, ok := s.share[row]; ok {
		return share
	}
	return s.fallback
}

// limiter returns the row's limiter, set to the row's limits as they are now.
func (s *Set) limiter(row *table.Row, share float64, now time.Time) *rowLimiter {
	l, ok := s.rows[row.Name]
	if !ok {
		l = &rowLimiter{requests: newLimiter(row.MaxRPS, share), tokens: newLimiter(row.MaxTPS, share)}
		s.rows[row.Name] = l
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

// limitOf is an entry's part of a limit; 0 a second means no limit.
func limitOf(perSecond, share float64) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 0
	}
	part := perSecond * share
	burst := int(math.Ceil(part * burstTime.Seconds()))
	return rate.Limit(part), max(1, burst)
}

// ConcurrencyShare is an entry's part of a concurrency limit. It is at least
// one, so that a row is never shut out of an entry; hence n entries together
// can run at most n-1 requests above the limit.
func ConcurrencyShare(limit int, share float64) int {
	return max(1, int(float64(limit)*share))
}
