package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberryscale.example/platform"
)

const (
	// maxBatch is the maximum number of writes in one commit.
	maxBatch = 128
	// maxCommits is the maximum number of commits in flight.
	maxCommits = 4
	// commitTimeout bounds one commit.
	commitTimeout = 2 * time.Second
)

// errNotSent is returned if a write was cancelled before it was sent.
var errNotSent = errors.New("claims: gave up before the write was sent")

// batcher collects the writes that arrive while commits are in flight into the next commit, so
// that many concurrent claims take few commits. A single write is sent at once.
type batcher struct {
	table    platform.TableService
	mu       sync.Mutex
	waiting  []*pending
	inFlight int // commits in flight
}

// pending is a write that waits for its commit to finish.
type pending struct {
	write  platform.Write
	result chan commitResult
}

// commitResult is the outcome of a write.
type commitResult struct {
	etag platform.ETag
	err  error
}

// commit writes w, possibly together with other writes. It returns an error of
// platform.TableService, errNotSent, or the error of ctx. After the latter the outcome is unknown.
func (b *batcher) commit(ctx context.Context, w platform.Write) (platform.ETag, error) {
	p := &pending{write: w, result: make(chan commitResult, 1)}
	b.add(p)
	select {
	case r := <-p.result:
		return r.etag, r.err
	case <-ctx.Done():
	}
	if b.remove(p) {
		return "", errNotSent
	}
	return "", ctx.Err()
}

func (b *batcher) add(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, p)
	if b.inFlight < maxCommits {
		b.inFlight++
		go b.run()
	}
}

// remove removes a write unless it is part of a commit already. It returns whether it did.
func (b *batcher) remove(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == p {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run commits batches until no write is waiting.
func (b *batcher) run() {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.commitAll(batch)
	}
}

// next removes and returns the writes of the next batch, at most one per record: two conditional
// writes of one record in the same transaction would both succeed. If there are none, it
// decrements inFlight, and the caller must return.
func (b *batcher) next() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pending
	taken := map[string]bool{}
	for _, p := range b.waiting {
		if len(batch) == maxBatch || taken[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		taken[p.write.Key] = true
		batch = append(batch, p)
	}
	b.waiting = rest
	if len(batch) == 0 {
		b.inFlight--
	}
	return batch
}

// commitAll commits a batch. If a precondition fails, nothing was written, and the two halves of
// the batch are committed separately, so that one failed write doesn't make others fail.
func (b *batcher) commitAll(batch []*pending) {
	etags, err := b.send(batch)
	if errors.Is(err, platform.ErrPrecondition) && len(batch) > 1 {
		half := len(batch) / 2
		b.commitAll(batch[:half])
		b.commitAll(batch[half:])
		return
	}
	for i, p := range batch {
		r := commitResult{err: err}
		if err == nil {
			r.etag = etags[i]
		}
		p.result <- r
	}
}

func (b *batcher) send(batch []*pending) ([]platform.ETag, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	writes := make([]platform.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	return b.table.Commit(ctx, writes)
}
