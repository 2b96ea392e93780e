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

// Instance is one incarnation of an endpoint as registered in the instance list.
type Instance struct {
	ID      string
	Service string
	Addr    string // ip:port
	Zone    string
	Slots   int
	// StartedAt is the start time in Unix milliseconds; 0 if the endpoint doesn't report it.
	StartedAt int64
	// Draining instances get no new work.
	Draining bool
	// Versions are the weight versions of its models.
	Versions map[string]uint64
	// RowVersion is the store's version of its row. Of two instances at an address, the one
	// with the newer row is running and the other one is its predecessor.
	RowVersion uint64
}

// SameContent reports whether the rows of two instances have the same content, whatever their
// versions.
func (i Instance) SameContent(other Instance) bool {
	return i.ID == other.ID && i.Service == other.Service && i.Addr == other.Addr && i.Zone == other.Zone &&
		i.Slots == other.Slots && i.StartedAt == other.StartedAt && i.Draining == other.Draining && maps.Equal(i.Versions, other.Versions)
}

// Snapshot is the state of the deployment as known at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration has been read.
	Config *Config
	// Instances are all registered instances, by id.
	Instances map[string]Instance
	// Listed is true once the instance list has been read.
	Listed bool
	// NamedVersions are the newest weight versions that trainers have named, by model.
	NamedVersions map[string]uint64
	// NamedVersionsAt is when this process received them, by model.
	NamedVersionsAt map[string]time.Time

	byService map[string][]Instance
	byAddr    map[string]Instance
}

// OfService returns the instances of a service that accept new work, ordered by address.
func (s *Snapshot) OfService(service string) []Instance { return s.byService[service] }

// HasInstances reports whether a service has instances that accept new work.
func (s *Snapshot) HasInstances(service string) bool { return len(s.byService[service]) > 0 }

// AtAddr returns the instance at an address, or false. Of several instances, the one that is not
// draining wins, then the one with the newer row.
func (s *Snapshot) AtAddr(addr string) (Instance, bool) {
	instance, ok := s.byAddr[addr]
	return instance, ok
}

// IsDraining reports whether this incarnation of an instance is listed as draining.
func (s *Snapshot) IsDraining(i Instance) bool {
	return s.Contains(i) && s.Instances[i.ID].Draining
}

// Contains reports whether exactly this incarnation of an instance is listed.
func (s *Snapshot) Contains(i Instance) bool {
	now, listed := s.Instances[i.ID]
	return listed && now.Incarnation() == i.Incarnation()
}

// View holds the newest snapshot. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Snapshot]
	// configConfirmedAt is the start of the last read that returned all changes of the
	// operators' rows, with both wall clock and monotonic time; nil before the first.
	configConfirmedAt atomic.Pointer[time.Time]

	mu      sync.Mutex // serialises updates
	changed chan struct{}
	// stale holds a value while there is evidence that the instance list is out of date.
	stale chan struct{}
}

// NewView returns a view with an empty snapshot.
func NewView() *View {
	v := &View{changed: make(chan struct{}), stale: make(chan struct{}, 1)}
	v.current.Store(&Snapshot{
		Instances: map[string]Instance{}, NamedVersions: map[string]uint64{}, NamedVersionsAt: map[string]time.Time{},
	})
	return v
}

// Snapshot returns the newest snapshot.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// ReportStale reports evidence that the instance list is out of date, such as an endpoint that
// answers as another incarnation than the listed one.
func (v *View) ReportStale() {
	select {
	case v.stale <- struct{}{}:
	default: // reported already
	}
}

// Stale returns a channel that receives a value after ReportStale was called.
func (v *View) Stale() <-chan struct{} { return v.stale }

// SetConfig puts a configuration in force unless the one in force is as new or newer. It
// reports whether it did.
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

// ConfirmConfig records that a read which started at readAt returned all changes of the
// operators' rows up to then.
func (v *View) ConfirmConfig(readAt time.Time) { v.configConfirmedAt.Store(&readAt) }

// ConfigAge returns how long ago the configuration in force was last confirmed to be the
// newest. It also counts time in which the process was suspended: the monotonic clock may stop
// then and the wall clock may jump, so the larger of the two differences is returned.
func (v *View) ConfigAge(now time.Time) time.Duration {
	confirmedAt := v.configConfirmedAt.Load()
	if confirmedAt == nil {
		return time.Duration(math.MaxInt64)
	}
	return max(now.Sub(*confirmedAt), now.Round(0).Sub(confirmedAt.Round(0)))
}

// UpdateInstances applies changes of the instance list: new or changed instances, and the ids
// of removed ones.
func (v *View) UpdateInstances(changed []Instance, removed []string) {
	v.update(func(s *Snapshot) {
		s.Listed = true
		s.Instances = maps.Clone(s.Instances)
		for _, id := range removed {
			delete(s.Instances, id)
		}
		for _, i := range changed {
			s.Instances[i.ID] = i
		}
		s.index()
	})
}

// SetNamedVersion records a weight version that a trainer has named, unless a version as new or
// newer is known. It reports whether it did.
func (v *View) SetNamedVersion(model string, version uint64) bool {
	done := false
	v.update(func(s *Snapshot) {
		if s.NamedVersions[model] >= version {
			return
		}
		s.NamedVersions, s.NamedVersionsAt = maps.Clone(s.NamedVersions), maps.Clone(s.NamedVersionsAt)
		s.NamedVersions[model], s.NamedVersionsAt[model] = version, time.Now()
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

// replaces reports whether an instance takes precedence over another one at the same address.
func (i *Instance) replaces(other Instance) bool {
	if i.Draining != other.Draining {
		return other.Draining
	}
	return i.RowVersion > other.RowVersion
}

// index builds the indexes by address and by service. Instances of a service that is not in the
// configuration were registered by somebody else. They are left out, so that they don't
// displace an instance in use at the same address.
func (s *Snapshot) index() {
	s.byAddr = make(map[string]Instance, len(s.Instances))
	for _, i := range s.Instances {
		if s.Config != nil && !s.Config.HasService(i.Service) {
			continue
		}
		if found, ok := s.byAddr[i.Addr]; !ok || i.replaces(found) {
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
