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

// Fencer issues fencing numbers. Next returns a larger number than all earlier calls
// by any agent of the same engine.
type Fencer interface {
	Next(ctx context.Context) (uint64, error)
}

// fencePrefix is the key prefix of fencing numbers in the table service.
const fencePrefix = "fence/"

// TableFencer draws fencing numbers from one record of the table service by
// conditional writes. An agent draws one number each time it starts, so the number
// of writes grows with restarts and not with orders.
type TableFencer struct {
	table platform.TableService
	key   string
	mu    sync.Mutex
}

// NewTableFencer returns a Fencer for the engine with the given instance id.
func NewTableFencer(table platform.TableService, engine string) *TableFencer {
	return &TableFencer{table: table, key: fencePrefix + engine}
}

// Next draws the next number. If the reply to its write is lost, it returns an error
// although the number may have been drawn; the next call then draws a larger one.
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
			return 0, trace.Wrap(err, "fence: invalid number in record %s", f.key)
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

// Newest returns the newest number drawn by any agent of the engine.
func (f *TableFencer) Newest(ctx context.Context) (uint64, error) {
	record, err := f.table.Get(ctx, f.key)
	if err != nil {
		return 0, trace.Wrap(err, "fence: read %s", f.key)
	}
	newest, err := strconv.ParseUint(string(record.Value), 10, 64)
	return newest, trace.Wrap(err, "fence: invalid number in record %s", f.key)
}

// acquireFence draws this agent's fencing number. It retries with backoff until it
// succeeds or ctx is done.
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
				a.reconcile(time.Now(), name)
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
