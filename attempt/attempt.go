// Package attempt sends one run to one agent and reads its answer. It never
// repeats anything; whoever calls it decides on that.
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

// transportRetryAfter is when to come back after a broken connection.
const transportRetryAfter = time.Second

// Client sends runs to agents. It is safe for concurrent use.
type Client struct {
	Dialer transport.Dialer
	View   *membership.View
	// Header makes the header of each request.
	Header func() wire.Header
	// Observe takes in the header of each reply.
	Observe func(wire.Header)
}

// OnChunk takes in a chunk of a run.
type OnChunk func(chunk *wire.Chunk)

// Run sends run to the agent and waits for its end. The error is always an
// *api.Refusal, whose NotRun is true only when the agent proved it or nothing
// was sent. The caller counts the run in a.Sends.
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

// Fence asks one incarnation of an agent never to start the run of a key.
// What another incarnation says proves nothing and is refused as
// CodeWrongIncarnation.
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

// Forget lets the agent drop results, and cancel runs, that nobody waits for.
func (c *Client) Forget(ctx context.Context, id, addr string, keys []string) error {
	req := &wire.Request{Forget: &wire.Forget{Keys: keys}}
	return c.call(ctx, id, addr, req, func(r *wire.Reply) bool { return r.OK })
}

// call sends one request and gives each reply to last until it returns true.
func (c *Client) call(ctx context.Context, id, addr string, req *wire.Request, last func(*wire.Reply) bool) error {
	s, err := c.Dialer.Open(ctx, addr)
	if err != nil {
		c.View.Suspect(id)
		return broken(ctx, err, StepOpen, id, api.NotRunTrue)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	req.Header = c.Header()
	if err := s.Send(req); err != nil {
		return broken(ctx, err, StepSend, id, api.NotRunUnknown)
	}
	for {
		r := new(wire.Reply)
		if err := s.Recv(r); err != nil {
			return broken(ctx, err, StepRecv, id, api.NotRunUnknown)
		}
		c.take(id, r)
		if r.Refusal != nil {
			return r.Refusal
		}
		if last(r) {
			return nil
		}
	}
}

// take learns from what comes with a reply.
func (c *Client) take(id string, r *wire.Reply) {
	c.Observe(r.Header)
	if r.Report != nil {
		c.View.Reported(r.Header, *r.Report, time.Now())
	}
	if r.Refusal != nil && r.Refusal.Code == api.CodeDraining {
		c.View.Leaving(id)
	}
}

func broken(ctx context.Context, err error, step, peer string, notRun api.NotRun) *api.Refusal {
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
