package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is one incarnation of an endpoint, as the instance list has it.
type Instance struct {
	ID      string
	Service string
	Addr    string // ip:port
	Zone    string
	Slots   int
	// StartedAt is the Unix millisecond of its start; 0 if it does not say.
	StartedAt int64
	// Draining instances get no new work.
	Draining bool
	// Versions are the weight versions of its models.
	Versions map[string]uint64
	// RowVersion is the store's version of its entry: of two instances at an address
	// the one with the newer entry lives, and the other was there before it.
	RowVersion uint64
}

// SameContent reports whether an instance's entry says the same as another one's,
// whenever either was written.
func (i Instance) SameContent(other Instance) bool {
	return i.ID == other.ID && i.Service == other.Service && i.Addr == other.Addr && i.Zone == other.Zone &&
		i.Slots == other.Slots && i.StartedAt == other.StartedAt && i.Draining == other.Draining && maps.Equal(i.Versions, other.Versions)
}

// Snapshot is what is believed at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration has been read.
	Config *Config
	// Instances are all registered ones, by id.
	Instances map[string]Instance
	// Listed says that the instance list has been read at least once.
	Listed bool
	// Named are the newest weight versions that trainers have named, by model.
	Named map[string]uint64
	// NamedAt is when this process learnt of them.
	NamedAt map[string]time.Time

	byService map[string][]Instance
	byAddr    map[string]Instance
}

// OfService returns a service's instances that take new work, ordered by address.
func (s *Snapshot) OfService(service string) []Instance { return s.byService[service] }

// AtAddr returns the instance at an address. Of several, the one that is not
// draining wins, then the one whose entry is newer.
func (s *Snapshot) AtAddr(addr string) (Instance, bool) {
	found, ok := s.byAddr[addr]
	return found, ok
}

// IsDraining reports whether an instance that was listed says that it leaves.
func (s *Snapshot) IsDraining(i Instance) bool {
	return s.Contains(i) && s.Instances[i.ID].Draining
}

// Contains reports whether the list has just this incarnation of an instance.
func (s *Snapshot) Contains(i Instance) bool {
	now, listed := s.Instances[i.ID]
	return listed && now.Incarnation() == i.Incarnation()
}

// View holds the newest snapshot. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Snapshot]
	// configHeard is when the read began whose answer last told of the operators'
	// rows, by the wall clock and the monotonic one; nil before the first.
	configHeard atomic.Pointer[time.Time]

	mu      sync.Mutex // serialises updates
	changed chan struct{}
}

// NewView returns a view that believes nothing yet.
func NewView() *View {
	v := &View{changed: make(chan struct{})}
	v.current.Store(&Snapshot{
		Instances: map[string]Instance{}, Named: map[string]uint64{}, NamedAt: map[string]time.Time{},
	})
	return v
}

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// SetConfig puts a configuration in force, unless one as new is in force
// already; it reports whether it did.
func (v *View) SetConfig(c *Config) bool {
	done := false
	v.update(func(s *Snapshot) {
		if s.Config != nil && s.Config.Version >= c.Version {
			return
		}
		s.Config, done = c, true
		s.index()
	})
	return done
}

// ConfirmConfig notes that a read which began at a moment told all of the operators'
// rows that was new then.
func (v *View) ConfirmConfig(asked time.Time) { v.configHeard.Store(&asked) }

// ConfigAge is how long ago the configuration in force was the newest for sure.
// It goes on while the process stands still: of the monotonic clock, which may
// stop then, and the wall clock, which may jump, the one that says more counts.
func (v *View) ConfigAge(now time.Time) time.Duration {
	heard := v.configHeard.Load()
	if heard == nil {
		return time.Duration(math.MaxInt64)
	}
	return max(now.Sub(*heard), now.Round(0).Sub(heard.Round(0)))
}

// UpdateInstances applies changes: instances that are new or changed, and ids that are gone.
func (v *View) UpdateInstances(changed []Instance, gone []string) {
	v.update(func(s *Snapshot) {
		s.Listed = true
		s.Instances = maps.Clone(s.Instances)
		for _, id := range gone {
			delete(s.Instances, id)
		}
		for _, i := range changed {
			s.Instances[i.ID] = i
		}
		s.index()
	})
}

// SetNamed takes a weight version that a trainer has named; an older one than
// known is ignored. It reports whether the version was news.
func (v *View) SetNamed(model string, version uint64) bool {
	done := false
	v.update(func(s *Snapshot) {
		if s.Named[model] >= version {
			return
		}
		s.Named, s.NamedAt = maps.Clone(s.Named), maps.Clone(s.NamedAt)
		s.Named[model], s.NamedAt[model] = version, time.Now()
		done = true
	})
	return done
}

func (v *View) update(change func(*Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current.Load()
	change(&next)
	v.current.Store(&next)
	close(v.changed)
	v.changed = make(chan struct{})
}

// follows reports whether an instance stands at its address instead of another.
func (i *Instance) follows(other Instance) bool {
	if i.Draining != other.Draining {
		return other.Draining
	}
	return i.RowVersion > other.RowVersion
}

// index sorts the instances by address and service. Those of a service that the
// configuration does not name were registered by somebody else: they take no
// address from an instance that can be used.
func (s *Snapshot) index() {
	s.byAddr = make(map[string]Instance, len(s.Instances))
	for _, i := range s.Instances {
		if s.Config != nil && !s.Config.HasService(i.Service) {
			continue
		}
		if found, ok := s.byAddr[i.Addr]; !ok || i.follows(found) {
			s.byAddr[i.Addr] = i
		}
	}
	s.byService = make(map[string][]Instance)
	for _, i := range s.byAddr {
		if !i.Draining {
			s.byService[i.Service] = append(s.byService[i.Service], i)
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b Instance) int { return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.ID, b.ID)) })
	}
}
