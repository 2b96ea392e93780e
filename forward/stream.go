package forward

import (
	"context"
	"errors"
	"io"
	"time"
)

// observedStream reports to the quarantine how a stream ends, and releases its context when it is
// closed.
type observedStream struct {
	Events
	call   *call
	ctx    context.Context
	cancel context.CancelFunc
	// held is the size of the event that is being written to the client.
	held int
}

// Next implements Events.
func (s *observedStream) Next() (raw []byte, id string, err error) {
	raw, id, err = s.Events.Next()
	s.holdEvent(len(raw))
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		s.call.Quarantine.ReportServed(s.call.fingerprint)
	default:
		a := attempt{to: s.call.lastTo, err: err, took: time.Since(s.call.lastSent)}
		a.crashed = s.call.reportIfCrashed(s.ctx, a.to, a.err, a.took)
		s.call.logBroken(a)
	}
	return raw, id, err
}

// Close implements Events.
func (s *observedStream) Close() {
	s.Events.Close()
	s.holdEvent(0)
	s.cancel()
	s.call.observeDuration()
}
