// Package claims records in the platform's table service who may run a request that must run at
// most once. A claim is created with one conditional write before the request is sent. It names
// the agent and the agent's incarnation, the only ones that may run the request.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/internal/digest"
	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
)

// keyPrefix is the prefix of the keys of claims in the table service.
const keyPrefix = "claims/"

// Bounds of the backoff while the outcome of a write is read back.
const (
	minReadBackDelay = 20 * time.Millisecond
	maxReadBackDelay = 500 * time.Millisecond
)

// Claim is the exclusive right to run a request.
type Claim struct {
	// Owner is unique for each claim that an entry creates.
	Owner string `json:"owner"`
	// Agent, Addr and Incarnation identify the only process that may run the request.
	Agent       string `json:"agent"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
	// Digest is a digest of the request's content, so that reuse of the key for another
	// request is detected.
	Digest string `json:"digest"`
	// Generation is incremented each time that a claim whose request never ran is taken over.
	// It is part of the run's key at the agent.
	Generation int `json:"generation"`
	// At is the time of creation by the owner's clock.
	At time.Time `json:"at"`

	etag platform.ETag
}

// ErrOutcomeUnknown is returned if it is not known whether a claim was written. The request has not
// been sent, and the owner of the claim must not send it.
var ErrOutcomeUnknown = errors.New("claims: outcome of the claim is not known")

// Store stores claims in the table service. Concurrent claims are written in batches. It is safe
// for concurrent use.
type Store struct {
	table platform.TableService
	// OnRetry is called for each retry of a read-back; it may be nil.
	OnRetry func(retry.Reason)
	writes  batcher
}

// NewStore returns a store that uses the given table service.
func NewStore(table platform.TableService) *Store {
	return &Store{table: table, writes: batcher{table: table}}
}

// Create creates the claim for a row's key. If there is one already, Create returns that one, and
// owned is false. The error is ErrOutcomeUnknown if the claim may have been written. After other
// errors, such as platform.ErrUnavailable, nothing was written.
func (s *Store) Create(ctx context.Context, row, key string, c Claim) (claim Claim, owned bool, err error) {
	return s.write(ctx, row, key, c, "")
}

// TakeOver replaces a claim whose request is known never to run. Its results are those of Create.
func (s *Store) TakeOver(ctx context.Context, row, key string, old, c Claim) (claim Claim, owned bool, err error) {
	c.Generation = old.Generation + 1
	return s.write(ctx, row, key, c, old.etag)
}

// write makes the conditional write, and reads the claim back if the outcome is unknown.
func (s *Store) write(ctx context.Context, row, key string, c Claim, ifETag platform.ETag) (Claim, bool, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return Claim{}, false, trace.Wrap(err, "encoding a claim")
	}
	record := RecordKey(row, key)
	etag, err := s.writes.commit(ctx, platform.Write{Key: record, Value: value, If: ifETag})
	if err == nil {
		c.etag = etag
		return c, true, nil
	}
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, errNotSent) {
		return Claim{}, false, trace.Wrap(err, "claiming a request")
	}
	return s.readBack(ctx, record, c)
}

// readBack reads which claim is stored, after a write that failed its precondition or whose reply
// was lost.
func (s *Store) readBack(ctx context.Context, record string, c Claim) (Claim, bool, error) {
	delays := retry.NewBackoff(minReadBackDelay, maxReadBackDelay)
	for {
		found, err := s.get(ctx, record)
		switch {
		case err == nil:
			return found, found.Owner == c.Owner, nil
		case errors.Is(err, platform.ErrNotFound):
			// The write may still take effect later, so the owner must not send the request.
			return Claim{}, false, ErrOutcomeUnknown
		}
		if s.OnRetry != nil {
			s.OnRetry(retry.ReasonReadBack)
		}
		select {
		case <-ctx.Done():
			return Claim{}, false, ErrOutcomeUnknown
		case <-time.After(delays.NextBackOff()):
		}
	}
}

func (s *Store) get(ctx context.Context, record string) (Claim, error) {
	rec, err := s.table.Get(ctx, record)
	if err != nil {
		return Claim{}, err
	}
	var c Claim
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		return Claim{}, trace.Wrap(err, "decoding claim %v", record)
	}
	c.etag = rec.ETag
	return c, nil
}

// RecordKey returns the key of a claim in the table service. The caller's key is hashed, since it
// may have any characters and any length.
func RecordKey(row, key string) string {
	return keyPrefix + row + "/" + digest.Of(key)
}

// RunKey returns the key that identifies a claimed request at its agent.
func RunKey(row, key string, generation int) string {
	return strings.Join([]string{"claim", row, digest.Of(key), strconv.Itoa(generation)}, "/")
}
