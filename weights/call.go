package weights

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// caller sends requests to other processes of the system.
type caller struct {
	header  func() wire.Header
	dialer  transport.Dialer
	timeout time.Duration
}

// call sends a request and passes each reply to take until take returns true.
// A refusal is returned as an *api.Refusal wrapped in the error.
func (c *caller) call(ctx context.Context, step, addr string, req wire.Request, take func(*wire.Reply) (last bool)) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	s, err := c.dialer.Open(ctx, addr)
	if err != nil {
		return trace.Wrap(err, "step %s, peer %s", step, addr)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	req.Header = c.header()
	if err := s.Send(&req); err != nil {
		return trace.Wrap(err, "step %s, peer %s", step, addr)
	}
	if err := s.CloseSend(); err != nil {
		return trace.Wrap(err, "step %s, peer %s", step, addr)
	}
	for {
		var reply wire.Reply
		if err := s.Recv(&reply); err != nil {
			return trace.Wrap(err, "step %s, peer %s", step, addr)
		}
		if reply.Refusal != nil {
			return trace.Wrap(reply.Refusal, "step %s, peer %s", step, addr)
		}
		if take(&reply) {
			return nil
		}
	}
}
