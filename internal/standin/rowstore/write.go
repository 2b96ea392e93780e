package rowstore

import (
	"context"
	"encoding/base64"
	"fmt"
	"time"

	"mulberryscale.example/store"
)

// Limits of a transaction, those of the platform's store.
const (
	maxEntries = 100
	maxTxBytes = 1_000_000 // of values, in an encoding that needs four bytes for three
)

// checkSize returns store.ErrInvalid for a transaction that exceeds a limit.
func checkSize(tx store.Tx) error {
	if n := len(tx.Put) + len(tx.Delete); n > maxEntries {
		return fmt.Errorf("%w: %d writes", store.ErrInvalid, n)
	}
	bytes := 0
	for _, row := range tx.Put {
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
	}
	if bytes > maxTxBytes {
		return fmt.Errorf("%w: %d bytes", store.ErrInvalid, bytes)
	}
	return nil
}

// write applies a write with the next queued outcome. extra is a delay beside that of Slow. A
// caller that gives up during the delay gets store.ErrUnknown, and the write goes on.
func (s *Store) write(ctx context.Context, extra time.Duration, apply func() (store.Snapshot, error)) (store.Snapshot, error) {
	if ctx.Err() != nil {
		return store.Snapshot{}, notSent(ctx)
	}
	s.mu.Lock()
	d := s.delay + extra
	s.mu.Unlock()
	if d == 0 {
		return s.writeNow(apply)
	}
	type answer struct {
		snapshot store.Snapshot
		err      error
	}
	done := make(chan answer, 1)
	time.AfterFunc(d, func() {
		snapshot, err := s.writeNow(apply)
		done <- answer{snapshot, err}
	})
	select {
	case a := <-done:
		return a.snapshot, a.err
	case <-ctx.Done():
		return store.Snapshot{}, fmt.Errorf("%w: %v", store.ErrUnknown, context.Cause(ctx))
	}
}

// writeNow applies a write with the next queued outcome, without a delay.
func (s *Store) writeNow(apply func() (store.Snapshot, error)) (store.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := Done
	if len(s.outcomes) > 0 {
		outcome, s.outcomes = s.outcomes[0], s.outcomes[1:]
	}
	switch outcome {
	case Refused:
		return store.Snapshot{}, store.ErrRefused
	case RequestLost:
		return store.Snapshot{}, store.ErrUnknown
	case Late:
		time.AfterFunc(LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = apply() // the caller already got ErrUnknown
		})
		return store.Snapshot{}, store.ErrUnknown
	case ReplyLost:
		_, _ = apply() // the reply is lost
		return store.Snapshot{}, store.ErrUnknown
	}
	return apply()
}
