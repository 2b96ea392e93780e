package entry

import (
	"context"

	"mulberryscale.example/api"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// StepPeer is the processing step named in refusals of calls between processes.
const StepPeer = "entry.peer"

// servePeer serves one call of another process.
func (e *Entry) servePeer(_ context.Context, s transport.Stream) {
	var req wire.Request
	if err := s.Recv(&req); err != nil {
		return
	}
	e.sync.observe(req.Header)
	reply := e.answerPeer(&req)
	if err := s.Send(reply); err != nil {
		e.cfg.Log.WithError(err).WithField("peer", s.Peer()).Debug("reply not sent")
	}
}

func (e *Entry) answerPeer(req *wire.Request) wire.Reply {
	switch {
	case req.PullTable != nil:
		return tablesync.HandlePull(e.cfg.Holder, e.header(), *req.PullTable)
	case req.PushTable != nil:
		return tablesync.HandlePush(e.cfg.Holder, e.header(), *req.PushTable)
	case req.Gossip != nil:
		return e.gossip.answer(req.Gossip)
	}
	refusal := e.refusal(api.CodeBadRequest, "an entry does not serve this call", StepPeer, 0)
	return wire.Reply{Header: e.header(), Refusal: refusal}
}
