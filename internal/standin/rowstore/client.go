package rowstore

import (
	"context"
	"sync"
	"time"

	"mulberryscale.example/store"
)

// Client is one process's connection to the store. Its calls can be made to fail.
type Client struct {
	*Store
	mu      sync.Mutex
	callErr error
}

// Client returns a new connection to the store.
func (s *Store) Client() *Client { return &Client{Store: s} }

// SetError makes each commit, list and feed fail with err; nil lets them succeed again.
func (c *Client) SetError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callErr = err
}

func (c *Client) err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callErr
}

// Commit implements store.Rows.
func (c *Client) Commit(ctx context.Context, tx store.Tx) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	return c.Store.Commit(ctx, tx)
}

// List implements store.Rows.
func (c *Client) List(ctx context.Context, r store.Range) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	return c.Store.List(ctx, r)
}

// Feed implements store.Rows.
func (c *Client) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (store.Snapshot, error) {
	if err := c.err(); err != nil {
		return store.Snapshot{}, err
	}
	s, err := c.Store.Feed(ctx, table, after, wait)
	if callErr := c.err(); callErr != nil {
		return store.Snapshot{}, callErr
	}
	return s, err
}
