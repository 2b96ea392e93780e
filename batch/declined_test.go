package batch

import (
	"context"
	"errors"
	"testing"
)

// decliningPeers stands in for agents that do not take items; err is nil if they answer so.
type decliningPeers struct{ err error }

func (p decliningPeers) Call(context.Context, string, *PeerRequest) (*PeerReply, error) {
	if p.err != nil {
		return nil, p.err
	}
	return &PeerReply{}, nil
}

// TestDeclinedItemsStayWhileStopping guards against items that no agent holds: a stopping process
// offers its items, the other agent declines or is silent, and nobody runs them until they are found
// without a holder. They must be offered again in the next round, to one agent.
func TestDeclinedItemsStayWhileStopping(t *testing.T) {
	for name, peers := range map[string]PeerClient{"declined": decliningPeers{}, "silent": decliningPeers{errors.New("no answer")}} {
		t.Run(name, func(t *testing.T) {
			w, j, all := newWaitingWorker(peers, 3)
			w.stopping = true
			w.pushJobItems(t.Context(), j, all, takingWork("10.0.0.2:80"), moveUnavailable)
			if len(w.waiting) != 3 || len(j.tasks) != 3 {
				t.Fatalf("%d items wait and %d are held, want 3", len(w.waiting), len(j.tasks))
			}
			others := &acceptingPeers{}
			w.Peers = others
			w.pushItems(t.Context(), map[string]*Status{"10.0.0.3:80": {Up: true, Free: 3}}, true)
			if len(others.received) != 3 || len(w.waiting) != 0 {
				t.Errorf("items %v handed over in the next round, %d wait", others.received, len(w.waiting))
			}
		})
	}
}
