package agent

import (
	"cmp"
	"context"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/observe"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// Processing steps, as named in refusals.
const (
	stepRequest = "agent.request"
	stepAdmit   = "agent.admit"
	stepQueue   = "agent.queue"
	stepRun     = "agent.run"
	stepDrain   = "agent.drain"
)

// requestTimeout is the time limit for a peer to send its request.
const requestTimeout = 10 * time.Second

// handle serves one stream, which carries one request.
func (a *Agent) handle(ctx context.Context, s transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.Context(), cancel)
	defer stop()
	var req wire.Request
	timer := time.AfterFunc(requestTimeout, func() { s.Close() })
	err := s.Recv(&req)
	timer.Stop()
	if err != nil {
		a.log.WithField(observe.FieldPeer, s.Peer()).WithError(err).Debug("no request received on the stream")
		return
	}
	a.observeHeader(req.Header)
	a.answer(ctx, s, &req)
}

// answer sends all replies to a request.
func (a *Agent) answer(ctx context.Context, s transport.Stream, req *wire.Request) {
	switch {
	case req.Run != nil:
		a.answerRun(ctx, s, req.Run)
	case req.Watch != nil:
		a.answerWatch(ctx, s, req.Watch)
	case req.PullPart != nil, req.PullManifest != nil:
		a.answerPart(ctx, s, req)
	default:
		a.reply(s, a.answerOnce(req))
	}
}

// answerOnce returns the reply to a request that has a single one.
func (a *Agent) answerOnce(req *wire.Request) *wire.Reply {
	now := time.Now()
	switch {
	case req.Fence != nil:
		return a.answerFence(now, req.Fence)
	case req.Forget != nil:
		a.results.Forget(now, req.Forget.Keys)
		a.finished.Fire()
		return &wire.Reply{OK: true}
	case req.PullTable != nil:
		return a.answerPull(req.PullTable)
	case req.PushTable != nil:
		return a.answerPush(req.PushTable)
	case req.Gossip != nil:
		return a.answerGossip(req.Gossip)
	case req.Drain != nil:
		a.RequestDrain(req.Drain.Reason)
		return &wire.Reply{OK: true}
	}
	return refused(a.refuse(api.CodeBadRequest, api.NotRunTrue, stepRequest, "the request names nothing to do"))
}

func refused(r *api.Refusal) *wire.Reply { return &wire.Reply{Refusal: r} }

func (a *Agent) answerFence(now time.Time, f *wire.Fence) *wire.Reply {
	if f.Key == "" {
		return refused(a.refuse(api.CodeBadRequest, api.NotRunTrue, stepRequest, "a fence needs a key"))
	}
	a.incarnation.renewMu.RLock()
	defer a.incarnation.renewMu.RUnlock()
	if !a.incarnation.accepts(f.Incarnation) {
		return refused(a.wrongIncarnationRefusal())
	}
	state, refusal := a.results.Fence(now, f.Key)
	if refusal != nil {
		return refused(refusal)
	}
	return &wire.Reply{Fenced: &wire.Fenced{State: state, Incarnation: cmp.Or(f.Incarnation, a.Incarnation())}}
}

// reply sends one message with the agent's header.
func (a *Agent) reply(s transport.Stream, r *wire.Reply) error {
	r.Header = a.header()
	if err := s.Send(r); err != nil {
		a.log.WithField(observe.FieldPeer, s.Peer()).WithError(err).Debug("reply not sent")
		return err
	}
	return nil
}
