package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/fleet"
)

const (
	// suspectTime is how long an instance that did not answer is passed over
	// while others are left. The instance list drops a dead one after about
	// three and a half seconds.
	suspectTime = 2 * time.Second
	// zonePenalty is the load, in shares of an instance's slots, that a request
	// to another zone is worth: a millisecond against a work of tens.
	zonePenalty = 0.25
)

// load is what this process knows of an instance's load.
type load struct {
	outstanding int // sent from here and not answered
	suspect     time.Time
}

// loads holds the loads of all instances by their incarnations. It is safe for
// concurrent use.
type loads struct {
	mu            sync.Mutex
	byIncarnation map[fleet.Incarnation]*load
}

func newLoads() *loads { return &loads{byIncarnation: map[fleet.Incarnation]*load{}} }

func (l *loads) of(i fleet.Incarnation) *load {
	found, ok := l.byIncarnation[i]
	if !ok {
		found = &load{}
		l.byIncarnation[i] = found
	}
	return found
}

func (l *loads) begin(i fleet.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(i).outstanding++
}

func (l *loads) end(i fleet.Incarnation, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.of(i)
	entry.outstanding--
	if answered {
		entry.suspect = time.Time{}
		return
	}
	entry.suspect = time.Now()
}

// prune forgets instances that are gone.
func (l *loads) prune(s *fleet.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, entry := range l.byIncarnation {
		if s.Instances[i.ID].Incarnation() != i && entry.outstanding == 0 {
			delete(l.byIncarnation, i)
		}
	}
}

// pick chooses the instance for a request: of those that were not tried and
// are not suspect, the least loaded, with a preference for the own zone.
// Suspects are used when nothing else is left.
func (l *loads) pick(candidates []fleet.Instance, tried map[fleet.Incarnation]bool, zone, request string, now time.Time) (fleet.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh, suspects []fleet.Instance
	for _, c := range candidates {
		entry := l.of(c.Incarnation())
		switch {
		case tried[c.Incarnation()]:
		case now.Sub(entry.suspect) < suspectTime:
			suspects = append(suspects, c)
		default:
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		fresh = suspects
	}
	if len(fresh) == 0 {
		return fleet.Instance{}, false
	}
	score := func(c fleet.Instance) float64 {
		s := float64(l.of(c.Incarnation()).outstanding) / float64(max(1, c.Slots))
		if c.Zone != zone {
			s += zonePenalty
		}
		return s
	}
	return slices.MinFunc(fresh, func(a, b fleet.Instance) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(tie(request, a.ID), tie(request, b.ID)))
	}), true
}

// tie spreads requests over instances of the same score.
func tie(request, id string) uint64 { return xxhash.Sum64String(request + "\x00" + id) }
