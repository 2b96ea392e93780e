package agent

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
)

// Fencer gives fencing numbers; each call returns a larger one than all before
// it, at any agent of the same engine.
type Fencer interface {
	Next(ctx context.Context) (uint64, error)
}

// fencePrefix begins the keys of the fencing numbers in the table service.
const fencePrefix = "fence/"

// TableFencer draws fencing numbers from one record of the table service by
// conditional writes. An agent draws one number for each incarnation, so the
// writes grow with restarts and not with orders.
type TableFencer struct {
	table platform.TableService
	key   string
	mu    sync.Mutex
}

// NewTableFencer makes a Fencer for the engine with that instance id.
func NewTableFencer(table platform.TableService, engine string) *TableFencer {
	return &TableFencer{table: table, key: fencePrefix + engine}
}

// Next draws the next number. When a write's reply is lost, the number may be
// used up without being returned; the next call draws a larger one.
func (f *TableFencer) Next(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	record, err := f.table.Get(ctx, f.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, trace.Wrap(err, "fence: read %s", f.key)
	}
	var last uint64
	if err == nil {
		last, err = strconv.ParseUint(string(record.Value), 10, 64)
		if err != nil {
			return 0, trace.Wrap(err, "fence: %s holds no number", f.key)
		}
	} else {
		record.ETag = ""
	}
	next := last + 1
	write := platform.Write{Key: f.key, Value: strconv.AppendUint(nil, next, 10), If: record.ETag}
	if _, err := f.table.Commit(ctx, []platform.Write{write}); err != nil {
		return 0, trace.Wrap(err, "fence: write %s", f.key)
	}
	return next, nil
}

// Newest reads the newest number drawn by any agent of the engine.
func (f *TableFencer) Newest(ctx context.Context) (uint64, error) {
	record, err := f.table.Get(ctx, f.key)
	if err != nil {
		return 0, trace.Wrap(err, "fence: read %s", f.key)
	}
	newest, err := strconv.ParseUint(string(record.Value), 10, 64)
	return newest, trace.Wrap(err, "fence: %s holds no number", f.key)
}

// acquireFence draws the incarnation's fencing number, trying until it has one.
func (a *Agent) acquireFence(ctx context.Context) {
	backoff := a.cfg.MinBackoff
	for {
		began := time.Now()
		fence, err := a.nextFence(ctx)
		a.mu.Lock()
		if err == nil {
			a.fence = fence
			a.engine.fenceCheckedAt = began
			for name := range a.engine.models {
				a.consider(time.Now(), name)
			}
			a.mu.Unlock()
			return
		}
		wait := a.jitter(backoff)
		a.mu.Unlock()
		a.log.WithError(err).Warn("no fencing number yet; the engine keeps its weights")
		if !retry.Sleep(ctx, wait) {
			return
		}
		backoff = min(2*backoff, a.cfg.MaxBackoff)
	}
}

func (a *Agent) nextFence(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	return a.cfg.Fencer.Next(ctx)
}
