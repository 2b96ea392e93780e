// Package weights is a stand-in for the platform's rate-limited weight store,
// in process and over HTTP. The bytes of a part are generated from its model, version and name.
package weights

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"mulberryscale.example/internal/standin/gate"
	"mulberryscale.example/platform"
)

// maxPartSize limits the size of a part, in bytes.
const maxPartSize = 256 << 20

// PartSpec describes a part to publish.
type PartSpec struct {
	Name string `json:"name"`
	Size int    `json:"size"` // bytes
}

// Options configure the store; zero rates mean no limit.
type Options struct {
	// CallsPerSecond limits the rate of calls, BytesPerSecond that of the bytes of parts.
	// A call above either gets a platform.RateLimitedError.
	CallsPerSecond float64
	BytesPerSecond float64
}

type versionKey struct {
	model   string
	version uint64
}

// Store implements platform.WeightStore. Its Gate injects outages and delays.
type Store struct {
	*gate.Gate
	calls *rate.Limiter
	bytes *rate.Limiter

	mu        sync.Mutex
	latest    map[string]uint64
	manifests map[versionKey]platform.WeightManifest
}

var _ platform.WeightStore = (*Store)(nil)

// New returns an empty store.
func New(o Options) *Store {
	return &Store{
		Gate:      gate.New(gate.Limits{}),
		calls:     gate.NewLimiter(o.CallsPerSecond),
		bytes:     gate.NewLimiter(o.BytesPerSecond),
		latest:    make(map[string]uint64),
		manifests: make(map[versionKey]platform.WeightManifest),
	}
}

// PartContent returns the bytes of a part.
func PartContent(model string, version uint64, part PartSpec) []byte {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[0:], xxhash.Sum64String(model))
	binary.LittleEndian.PutUint64(seed[8:], version)
	binary.LittleEndian.PutUint64(seed[16:], xxhash.Sum64String(part.Name))
	content := make([]byte, part.Size)
	_, _ = rand.NewChaCha8(seed).Read(content) // never fails
	return content
}

// Publish adds a version of a model. It returns platform.ErrPrecondition if the version is not
// newer than the latest one.
func (s *Store) Publish(model string, version uint64, parts []PartSpec) error {
	manifest := platform.WeightManifest{Model: model, Version: version}
	for _, p := range parts {
		if p.Size < 0 || p.Size > maxPartSize {
			return trace.BadParameter("weights.publish: part %q: want a size of 0 to %d bytes, got %d", p.Name, maxPartSize, p.Size)
		}
		hash := xxhash.Sum64(PartContent(model, version, p))
		manifest.Parts = append(manifest.Parts, platform.WeightPart{
			Name: p.Name, Size: int64(p.Size), Hash: fmt.Sprintf("%016x", hash),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.latest[model] {
		return trace.Wrap(platform.ErrPrecondition, "weights.publish: model %q: version %d is not newer than %d", model, version, s.latest[model])
	}
	s.latest[model] = version
	s.manifests[versionKey{model, version}] = manifest
	return nil
}

// Latest implements platform.WeightStore.
func (s *Store) Latest(ctx context.Context, model string) (uint64, error) {
	var found uint64
	err := s.read(ctx, func() error {
		found = s.latest[model]
		if found == 0 {
			return platform.ErrNotFound
		}
		return nil
	})
	return found, trace.Wrap(err, "weights.latest: model %q", model)
}

// Manifest implements platform.WeightStore.
func (s *Store) Manifest(ctx context.Context, model string, version uint64) (platform.WeightManifest, error) {
	var found platform.WeightManifest
	err := s.read(ctx, func() (err error) {
		found, err = s.manifest(model, version)
		return err
	})
	return found, trace.Wrap(err, "weights.manifest: model %q version %d", model, version)
}

// Part implements platform.WeightStore.
func (s *Store) Part(ctx context.Context, model string, version uint64, name string) (io.ReadCloser, error) {
	var part PartSpec
	err := s.read(ctx, func() (err error) {
		part, err = s.part(model, version, name)
		return err
	})
	if err != nil {
		return nil, trace.Wrap(err, "weights.part: model %q version %d part %q", model, version, name)
	}
	return io.NopCloser(bytes.NewReader(PartContent(model, version, part))), nil
}

// manifest returns the manifest of a version. The caller holds s.mu.
func (s *Store) manifest(model string, version uint64) (platform.WeightManifest, error) {
	m, ok := s.manifests[versionKey{model, version}]
	if !ok {
		return m, platform.ErrNotFound
	}
	return m, nil
}

// part finds a part and takes its bytes from the rate limit. The caller holds s.mu.
func (s *Store) part(model string, version uint64, name string) (PartSpec, error) {
	m, err := s.manifest(model, version)
	if err != nil {
		return PartSpec{}, err
	}
	for _, p := range m.Parts {
		if p.Name == name {
			return PartSpec{Name: name, Size: int(p.Size)}, spend(s.bytes, int(p.Size))
		}
	}
	return PartSpec{}, platform.ErrNotFound
}

// read calls f with s.mu held if the rate limit and the gate admit the call.
func (s *Store) read(ctx context.Context, f func() error) error {
	if err := spend(s.calls, 1); err != nil {
		return err
	}
	return s.Read(ctx, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return f()
	})
}

// spend takes n from the limiter, or returns a platform.RateLimitedError that says when to
// retry. An n larger than the limiter's burst counts as one burst.
func spend(l *rate.Limiter, n int) error {
	if l.Limit() == rate.Inf {
		return nil
	}
	now := time.Now()
	reservation := l.ReserveN(now, min(n, l.Burst()))
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return &platform.RateLimitedError{RetryAfter: delay}
	}
	return nil
}
