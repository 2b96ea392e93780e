package rowstore

import (
	"context"
	"slices"
	"strings"
	"time"

	"mulberryscale.example/store"
)

// extraDelay returns the delay of SlowObjects.
func (s *Store) extraDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objectDelay
}

// PutObject implements store.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := s.write(ctx, s.extraDelay(), func() (store.Snapshot, error) {
		if _, ok := s.objects[name]; ok {
			return store.Snapshot{}, store.ErrConflict
		}
		s.objects[name] = slices.Clone(body)
		return store.Snapshot{}, nil
	})
	return err
}

// GetObject implements store.Objects.
func (s *Store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return body, nil
}

// DeleteObject implements store.Objects.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := s.write(ctx, s.extraDelay(), func() (store.Snapshot, error) {
		delete(s.objects, name)
		return store.Snapshot{}, nil
	})
	return err
}

// ListObjects implements store.Objects.
func (s *Store) ListObjects(_ context.Context, prefix string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
