package claims

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberryscale.example/platform"
)

const (
	// maxBatch is the most writes in one commit.
	maxBatch = 128
	// maxCommits is the most commits under way at a time.
	maxCommits = 4
	// commitTimeout bounds one commit.
	commitTimeout = 2 * time.Second
)

// errNotSent says that a write was given up before it was sent.
var errNotSent = errors.New("claims: gave up before the write was sent")

// batcher gathers the writes that arrive while commits are under way into the
// next one, so that many claims at once take few commits. A write alone is
// sent at once.
type batcher struct {
	table   platform.TableService
	mu      sync.Mutex
	waiting []*pending
	running int // commits under way
}

// pending is a write that waits for its commit.
type pending struct {
	write  platform.Write
	result chan committed
}

// committed is how a write ended.
type committed struct {
	etag platform.ETag
	err  error
}

// commit writes w, together with others or alone. The errors are those of
// platform.TableService, errNotSent, or ctx's, after which the outcome is unknown.
func (b *batcher) commit(ctx context.Context, w platform.Write) (platform.ETag, error) {
	p := &pending{write: w, result: make(chan committed, 1)}
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
	if b.running < maxCommits {
		b.running++
		go b.run()
	}
}

// remove takes out a write that no commit has taken yet.
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

// run commits until nothing waits.
func (b *batcher) run() {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.commitAll(batch)
	}
}

// next takes writes out, of each record one: two conditional writes of a record
// in one transaction would both succeed. When there are none, the run has ended.
func (b *batcher) next() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, left []*pending
	taken := map[string]bool{}
	for _, p := range b.waiting {
		if len(batch) == maxBatch || taken[p.write.Key] {
			left = append(left, p)
			continue
		}
		taken[p.write.Key] = true
		batch = append(batch, p)
	}
	b.waiting = left
	if len(batch) == 0 {
		b.running--
	}
	return batch
}

// commitAll commits a batch. When a precondition fails, nothing was written,
// and its halves are committed apart, so that one write fails no other.
func (b *batcher) commitAll(batch []*pending) {
	etags, err := b.send(batch)
	if errors.Is(err, platform.ErrPrecondition) && len(batch) > 1 {
		half := len(batch) / 2
		b.commitAll(batch[:half])
		b.commitAll(batch[half:])
		return
	}
	for i, p := range batch {
		r := committed{err: err}
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
