// Package attempt sends one run to one agent and reads its answer. It never retries; that is up
// to the caller.
package attempt

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/membership"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Steps named in refusals.
const (
	StepOpen = "entry.open"
	StepSend = "entry.send"
	StepRecv = "entry.receive"
)

// transportRetryAfter is the retry delay after a broken connection.
const transportRetryAfter = time.Second

// Client sends runs to agents. It is safe for concurrent use.
type Client struct {
	Dialer transport.Dialer
	View   *membership.View
	// Header returns the header of each request.
	Header func() wire.Header
	// Observe is called with the header of each reply.
	Observe func(wire.Header)
}

// OnChunk is called with each chunk of a run.
type OnChunk func(chunk *wire.Chunk)

// Run sends run to the agent and waits until it is done. The error is always an *api.Refusal,
// whose NotRun is true only when the agent proved it or nothing was sent. The caller counts the
// run in a.InFlight.
func (c *Client) Run(ctx context.Context, a *membership.Agent, run *wire.Run, onChunk OnChunk) (*wire.Done, error) {
	var done *wire.Done
	err := c.call(ctx, a.ID, a.Addr, &wire.Request{Run: run}, func(r *wire.Reply) bool {
		if r.Chunk != nil && onChunk != nil {
			onChunk(r.Chunk)
		}
		done = r.Done
		return done != nil
	})
	if err != nil {
		return nil, err
	}
	return done, nil
}

// Fence asks one incarnation of an agent never to start the run with the given key. A reply from
// another incarnation proves nothing and is refused as CodeWrongIncarnation.
func (c *Client) Fence(ctx context.Context, id, addr, incarnation, key string) (wire.FenceState, error) {
	var reply *wire.Reply
	err := c.call(ctx, id, addr, &wire.Request{Fence: &wire.Fence{Key: key, Incarnation: incarnation}}, func(r *wire.Reply) bool {
		reply = r
		return r.Fenced != nil
	})
	if err != nil {
		return 0, err
	}
	if reply.Fenced.Incarnation != incarnation {
		return 0, &api.Refusal{
			Code: api.CodeWrongIncarnation, Message: "the agent has restarted",
			NotRun: api.NotRunUnknown, Step: StepRecv, Peer: id,
		}
	}
	return reply.Fenced.State, nil
}

// Forget tells the agent to drop results, and cancel runs, that nobody waits for.
func (c *Client) Forget(ctx context.Context, id, addr string, keys []string) error {
	req := &wire.Request{Forget: &wire.Forget{Keys: keys}}
	return c.call(ctx, id, addr, req, func(r *wire.Reply) bool { return r.OK })
}

// call sends one request and passes each reply to done until it returns true.
func (c *Client) call(ctx context.Context, id, addr string, req *wire.Request, done func(*wire.Reply) bool) error {
	s, err := c.Dialer.Open(ctx, addr)
	if err != nil {
		c.View.MarkSuspect(id)
		return transportRefusal(ctx, err, StepOpen, id, api.NotRunTrue)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	req.Header = c.Header()
	if err := s.Send(req); err != nil {
		return transportRefusal(ctx, err, StepSend, id, api.NotRunUnknown)
	}
	for {
		r := new(wire.Reply)
		if err := s.Recv(r); err != nil {
			return transportRefusal(ctx, err, StepRecv, id, api.NotRunUnknown)
		}
		c.updateView(id, r)
		if r.Refusal != nil {
			return r.Refusal
		}
		if done(r) {
			return nil
		}
	}
}

// updateView passes the header of a reply to Observe, and its load report and a refusal for
// draining to the view.
func (c *Client) updateView(id string, r *wire.Reply) {
	c.Observe(r.Header)
	if r.Report != nil {
		c.View.ApplyReport(r.Header, *r.Report, time.Now())
	}
	if r.Refusal != nil && r.Refusal.Code == api.CodeDraining {
		c.View.MarkLeaving(id)
	}
}

func transportRefusal(ctx context.Context, err error, step, peer string, notRun api.NotRun) *api.Refusal {
	r := &api.Refusal{
		Code: api.CodeTransport, Message: err.Error(), NotRun: notRun,
		RetryAfter: transportRetryAfter, Step: step, Peer: peer,
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Code = api.CodeDeadline
		r.Message = "the deadline passed while the agent ran the request"
	case ctx.Err() != nil:
		r.Code = api.CodeCancelled
		r.Message = "the caller went away"
	}
	return r
}

// AsRefusal returns err as a refusal; other errors become CodeInternal with an unknown outcome.
func AsRefusal(err error, step, peer string) *api.Refusal {
	var r *api.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &api.Refusal{
		Code: api.CodeInternal, Message: err.Error(), NotRun: api.NotRunUnknown, Step: step, Peer: peer,
	}
}
