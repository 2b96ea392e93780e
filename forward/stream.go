package forward

import (
	"context"
	"errors"
	"io"
	"time"
)

// streamEnd sees how a stream ends, and releases its context when it is closed.
type streamEnd struct {
	Events
	call *call
	ctx  context.Context
	end  context.CancelFunc
}

// Next implements Events.
func (s *streamEnd) Next() (raw []byte, id string, err error) {
	raw, id, err = s.Events.Next()
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		s.call.Quarantine.ReportServed(s.call.subject)
	default:
		a := attempt{to: s.call.last, err: err, took: time.Since(s.call.lastSent)}
		a.ended = s.call.hasEnded(s.ctx, a.to, a.err, a.took)
		s.call.tell(a)
	}
	return raw, id, err
}

// Close implements Events.
func (s *streamEnd) Close() {
	s.Events.Close()
	s.end()
}
