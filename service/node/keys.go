package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/keys"
	"mulberryscale.example/store"
)

// authorityKey is the key of the store's row with the certificate authority of the
// service's processes. Any process that can read the store can join; one that cannot
// is refused by every other.
var authorityKey = store.Key{Table: "process_keys", Name: "authority"}

// loadAuthority reads the authority from the store. The first process of a deployment
// creates it.
func loadAuthority(ctx context.Context, rows store.Rows) (*keys.Authority, error) {
	s, err := rows.List(ctx, store.Range{Table: authorityKey.Table})
	if err != nil {
		return nil, err
	}
	for _, row := range s.Rows {
		if row.Name == authorityKey.Name {
			return decodeAuthority(row.Value)
		}
	}
	return makeAuthority(ctx, rows)
}

func decodeAuthority(value []byte) (*keys.Authority, error) {
	var pair keys.Pair
	if err := json.Unmarshal(value, &pair); err != nil {
		return nil, trace.Wrap(err, "decode the authority of our processes")
	}
	return keys.LoadAuthority(pair)
}

// makeAuthority creates the authority. It returns an error if another process was first
// or the write is not confirmed; the caller then reads the store again.
func makeAuthority(ctx context.Context, rows store.Rows) (*keys.Authority, error) {
	authority, err := keys.NewDevAuthority()
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(authority.Pair())
	if err != nil {
		return nil, trace.Wrap(err, "encode the authority of our processes")
	}
	_, err = rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: authorityKey}},
		Put: []store.Row{{Key: authorityKey, Value: value}},
	})
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknown) {
		return nil, trace.Wrap(err, "create the authority: another process was first, or the write is not confirmed")
	}
	return authority, err
}

// keySource loads the authority, with retries until ctx is cancelled, and returns this
// process's keys.
func (b *base) keySource(ctx context.Context) (keys.Source, error) {
	for {
		authority, err := loadAuthority(ctx, b.store)
		if err == nil {
			return authority.Source(b.settings.Node)
		}
		b.log.WithError(err).Warn("keys not read")
		select {
		case <-time.After(keyRetryDelay):
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
