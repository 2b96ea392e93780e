package relay

import (
	"sync"
	"time"
)

const (
	// silentAfter is how long the own path may give no answer before a call goes
	// through another process as well: a hundred times an answer's usual time, and
	// half of the slowest seen while the store itself was slowed down sixty times.
	silentAfter = 400 * time.Millisecond
	// otherAnswer bounds a call that another process makes, beside the time for
	// which a feed may be held. It is short, since a process that is cut off from the
	// store is often cut off from the others too: its calls then fail no later than by
	// its own path alone, so that it is back as soon as the cut heals.
	otherAnswer = 600 * time.Millisecond
	// probeAfter is how long calls go through another process at once before one
	// tries the own path again first.
	probeAfter = time.Second
	// restAfter is how long no other process is asked after several could not
	// reach the store either: it is the store that is away, and as many calls again
	// would not bring it back. It doubles up to maxRest while that goes on.
	restAfter = time.Second
	maxRest   = 4 * time.Second
)

// path is what is believed of the ways to the store. It is safe for concurrent use.
type path struct {
	mu sync.Mutex
	// around is until when the own path counts as lost, resting until when no
	// other process is asked.
	around, resting time.Time
	// rest is how long the last rest was.
	rest time.Duration
	// detouring says that the last answer came through another process.
	detouring bool
}

// lost reports whether the own path counts as lost, so that others are asked first.
func (p *path) lost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.around)
}

// mayAsk reports whether another process may be asked.
func (p *path) mayAsk(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.resting)
}

// ownAnswered notes that the own path works, and reports whether that is news.
func (p *path) ownAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.detouring
	p.around, p.resting, p.rest, p.detouring = time.Time{}, time.Time{}, 0, false
	return was
}

// otherAnswered notes that a call got through by another process after the own
// path had failed, and reports whether that is news.
func (p *path) otherAnswered(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.detouring
	p.rest, p.detouring = 0, true
	if !now.Before(p.around) {
		p.around = now.Add(probeAfter)
	}
	return !was
}

// othersFailed notes that no other process got through.
func (p *path) othersFailed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest = min(max(restAfter, 2*p.rest), maxRest)
	p.around, p.resting = time.Time{}, now.Add(p.rest)
}
