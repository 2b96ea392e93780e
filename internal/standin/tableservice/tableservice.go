// Package tableservice is a stand-in for the platform's transactional table
// service, in process and over HTTP.
package tableservice

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"mulberryscale.example/internal/standin/gate"
	"mulberryscale.example/platform"
)

// Options configure the service.
type Options struct {
	// Limits are the rate limits; a call above them is refused without effect.
	Limits gate.Limits
}

// Service implements platform.TableService. Its Gate injects outages, delays and lost replies.
type Service struct {
	*gate.Gate

	mu      sync.Mutex
	records map[string]platform.Record
	stale   map[string]platform.Record // snapshot that reads return; nil if they return records
	writes  uint64                     // number of writes so far; makes the ETags unique
}

var _ platform.TableService = (*Service)(nil)

// New returns an empty service.
func New(o Options) *Service {
	return &Service{Gate: gate.New(o.Limits), records: make(map[string]platform.Record)}
}

// StaleReads switches stale reads on or off. While they are on, reads return the state as it
// was when they were switched on.
func (s *Service) StaleReads(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if on {
		s.stale = maps.Clone(s.records)
	}
}

// visible returns the records that reads see. The caller holds s.mu.
func (s *Service) visible() map[string]platform.Record {
	if s.stale != nil {
		return s.stale
	}
	return s.records
}

// Get implements platform.TableService.
func (s *Service) Get(ctx context.Context, key string) (platform.Record, error) {
	var found platform.Record
	err := s.Read(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		r, ok := s.visible()[key]
		if !ok {
			return platform.ErrNotFound
		}
		found = r
		return nil
	})
	if err != nil {
		return platform.Record{}, fmt.Errorf("table.get %q: %w", key, err)
	}
	return found, nil
}

// List implements platform.TableService.
func (s *Service) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	var found []platform.Record
	err := s.Read(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		found = matching(s.visible(), prefix)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("table.list %q: %w", prefix, err)
	}
	return found, nil
}

// matching returns the records whose keys have the prefix, ordered by key.
func matching(records map[string]platform.Record, prefix string) []platform.Record {
	out := []platform.Record{}
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, records[key])
		}
	}
	return out
}

// Commit implements platform.TableService.
func (s *Service) Commit(ctx context.Context, writes []platform.Write) ([]platform.ETag, error) {
	var etags []platform.ETag
	err := s.Write(ctx, len(writes), func() (err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		etags, err = s.apply(writes)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("table.commit: %w", err)
	}
	return etags, nil
}

// apply makes all writes, or none if the condition of one fails. The caller holds s.mu.
func (s *Service) apply(writes []platform.Write) ([]platform.ETag, error) {
	for _, w := range writes {
		if !w.Unconditional && s.records[w.Key].ETag != w.If {
			return nil, fmt.Errorf("key %q: %w", w.Key, platform.ErrPrecondition)
		}
	}
	etags := make([]platform.ETag, len(writes))
	for i, w := range writes {
		s.writes++
		if w.Value == nil {
			delete(s.records, w.Key)
			continue
		}
		etags[i] = platform.ETag(fmt.Sprintf("e%d", s.writes))
		s.records[w.Key] = platform.Record{Key: w.Key, Value: slices.Clone(w.Value), ETag: etags[i]}
	}
	return etags, nil
}
