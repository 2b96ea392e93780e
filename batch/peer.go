package batch

import (
	"context"
	"net"
	"strconv"
	"time"

	"mulberryscale.example/observe"
	"mulberryscale.example/store/relay"
)

// PeerClient sends requests to other agents.
type PeerClient interface {
	// Call sends a request to the agent at addr ("ip:port") and returns its reply.
	Call(ctx context.Context, addr string, req *PeerRequest) (*PeerReply, error)
}

// Serve answers a request of another agent; before Run the reply is empty.
func (w *Worker) Serve(req *PeerRequest) *PeerReply {
	select {
	case <-w.started:
	default:
		return &PeerReply{}
	}
	switch {
	case req.Status != nil:
		return &PeerReply{Status: w.status(req.Status.Jobs)}
	case req.Take != nil:
		return &PeerReply{Handover: w.handOver(req.From, req.Take)}
	case req.Give != nil:
		return &PeerReply{Taken: w.accept(req.From, req.Give)}
	case req.Store != nil && w.Direct != nil:
		return &PeerReply{Store: relay.Serve(w.ctx, w.Direct, req.Store)}
	}
	return &PeerReply{}
}

func (w *Worker) status(jobs []string) *Status {
	_, registered := w.instance()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &Status{
		Up: registered && w.engine.up && !w.stopping, Free: w.freeSlots(), EventInterval: w.engine.eventInterval,
		Jobs: make(map[string]JobStatus, len(jobs)), Pace: w.engine.speed.pace.Pace(time.Now()),
	}
	for _, id := range jobs {
		if j, ok := w.jobs[id]; ok {
			s.Jobs[id] = j.status()
		}
	}
	return s
}

// freeSlots is the number of further items that could run at once. It is called with
// w.mu held.
func (w *Worker) freeSlots() int {
	instance, ok := w.View.Snapshot().AtAddr(w.Engine)
	if !ok || instance.Draining || !w.engine.up || w.stopping {
		return 0
	}
	return max(0, instance.Slots-len(w.running)-len(w.waiting))
}

func (j *workJob) status() JobStatus {
	var s JobStatus
	for i, t := range j.tasks {
		switch {
		case t.complete:
			s.AwaitingScore = append(s.AwaitingScore, i)
		case t.cancel != nil:
			s.Running = append(s.Running, i)
		default:
			s.Waiting = append(s.Waiting, i)
		}
	}
	for i := range j.done {
		s.Done = append(s.Done, i)
	}
	s.Transferred = j.transfers.indexes(time.Now())
	return s
}

// peerAddr returns the address at which the agent beside an engine listens.
func (w *Worker) peerAddr(engine string) (string, error) {
	host, _, err := net.SplitHostPort(engine)
	return net.JoinHostPort(host, strconv.Itoa(w.PeerPort)), err
}

// call sends a request to the agent beside an engine, with the timeout peerTimeout.
func (w *Worker) call(ctx context.Context, engine string, req *PeerRequest) (*PeerReply, error) {
	return w.callWithTimeout(ctx, engine, req, peerTimeout)
}

// callWithTimeout sends a request to the agent beside an engine with a given timeout.
func (w *Worker) callWithTimeout(ctx context.Context, engine string, req *PeerRequest, limit time.Duration) (*PeerReply, error) {
	addr, err := w.peerAddr(engine)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req.From = w.Engine
	reply, err := w.Peers.Call(ctx, addr, req)
	if err != nil {
		w.Counters.Retry(observe.RowNone, reasonPeerSilent)
	}
	return reply, err
}

const (
	// peerTimeout bounds a call between agents: a hundred round trips within a
	// region, and short against the second after which the items of an agent that
	// does not answer are reassigned.
	peerTimeout      = 400 * time.Millisecond
	reasonPeerSilent = "peer_silent"
)
