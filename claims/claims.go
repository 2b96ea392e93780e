// Package claims records in the platform's table service who may run a
// request that must run at most once. A claim is created by one conditional
// write before the request is sent, and names the agent and the agent's
// incarnation that alone may run it.
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

// keyPrefix is where claims stand in the table service.
const keyPrefix = "claims/"

// Delays while the outcome of a write is read back.
const (
	firstReadBack = 20 * time.Millisecond
	mostReadBack  = 500 * time.Millisecond
)

// Claim says who may run a request.
type Claim struct {
	// Owner is unique for each claim that an entry makes.
	Owner string `json:"owner"`
	// Agent, Addr and Incarnation name the only process that may run it.
	Agent       string `json:"agent"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
	// Digest identifies the request's content, so that a key used for another
	// request is recognised.
	Digest string `json:"digest"`
	// Generation grows each time that a claim which never ran is taken over;
	// it is part of the run's key at the agent.
	Generation int `json:"generation"`
	// At is when the claim was made, by its owner's clock.
	At time.Time `json:"at"`

	etag platform.ETag
}

// ErrOutcomeUnknown says that it could not be learnt whether a claim was written.
// Nothing has been sent, and its owner must not send anything.
var ErrOutcomeUnknown = errors.New("claims: outcome of the claim is not known")

// Store keeps claims in the table service. Claims that are made at the same
// time are written together. It is safe for concurrent use.
type Store struct {
	table platform.TableService
	// OnRetry is told of each reading back; it may be nil.
	OnRetry func(retry.Reason)
	writes  batcher
}

// NewStore returns a store in the table service.
func NewStore(table platform.TableService) *Store {
	return &Store{table: table, writes: batcher{table: table}}
}

// Create creates the claim of a row's key. When there is one already, it is
// returned with mine false. When nothing was written, the error says why, such
// as platform.ErrUnavailable; else it is ErrUndecided.
func (s *Store) Create(ctx context.Context, row, key string, c Claim) (claim Claim, mine bool, err error) {
	return s.write(ctx, row, key, c, "")
}

// TakeOver replaces a claim that is proven never to run.
func (s *Store) TakeOver(ctx context.Context, row, key string, old, c Claim) (claim Claim, mine bool, err error) {
	c.Generation = old.Generation + 1
	return s.write(ctx, row, key, c, old.etag)
}

// write makes the conditional write and reads back when its reply was lost.
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

// readBack finds out whose claim stands after a write that failed or whose
// reply was lost.
func (s *Store) readBack(ctx context.Context, record string, c Claim) (Claim, bool, error) {
	delays := retry.NewBackoff(firstReadBack, mostReadBack)
	for {
		found, err := s.get(ctx, record)
		switch {
		case err == nil:
			return found, found.Owner == c.Owner, nil
		case errors.Is(err, platform.ErrNotFound):
			// The write may still arrive; its owner gives up and sends nothing.
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

// RecordKey is the table service's key of a claim. The caller's key is hashed,
// since it may hold any characters and any length.
func RecordKey(row, key string) string {
	return keyPrefix + row + "/" + digest.Of(key)
}

// RunKey is the identity of a claimed request at its agent.
func RunKey(row, key string, generation int) string {
	return strings.Join([]string{"claim", row, digest.Of(key), strconv.Itoa(generation)}, "/")
}
