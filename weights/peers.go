package weights

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/platform"
	"mulberryscale.example/retry"
)

// notServingTTL is how long a peer that does not serve a model is skipped for it.
const notServingTTL = 10 * time.Minute

// listTimeout bounds one read of the instance list.
const listTimeout = 10 * time.Second

// peerModel is a peer and a model that it does not serve.
type peerModel struct{ peer, model string }

// PeerList lists the other agents, from infrequent reads of the instance list. The
// list does not say which agent serves which model; peers that refuse a model's
// parts are skipped for that model. It is safe for concurrent use.
type PeerList struct {
	list platform.InstanceList
	self string
	log  logrus.FieldLogger
	rand *random

	mu         sync.Mutex
	agents     []platform.Instance
	notServing map[peerModel]time.Time // skipped until then
}

// NewPeerList returns a list that is empty until Run has read it. Seed makes
// its jitter repeatable; 0 draws a seed.
func NewPeerList(list platform.InstanceList, self string, log logrus.FieldLogger, seed uint64) *PeerList {
	return &PeerList{list: list, self: self, log: log, rand: newRandom(seed, 1), notServing: make(map[peerModel]time.Time)}
}

// Run reads the instance list periodically until ctx is done. If a read fails, the
// previous list is kept.
func (p *PeerList) Run(ctx context.Context) {
	for {
		p.read(ctx)
		if !retry.Sleep(ctx, p.rand.jitter(ListInterval(p.Len()))) {
			return
		}
	}
}

func (p *PeerList) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := p.list.Instances(ctx)
	if err != nil {
		p.log.WithError(err).Warn("instance list not read; the last one stays")
		return
	}
	var agents []platform.Instance
	for _, in := range instances {
		if in.Role == platform.RoleAgent && in.ID != p.self {
			agents = append(agents, in)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agents = agents
}

// Len returns the number of other agents known.
func (p *PeerList) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.agents)
}

// All returns the other agents. Callers must not change the slice.
func (p *PeerList) All() []platform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.agents
}

// Serving returns the other agents that may serve a model.
func (p *PeerList) Serving(now time.Time, model string) []platform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	serving := make([]platform.Instance, 0, len(p.agents))
	for _, in := range p.agents {
		if now.After(p.notServing[peerModel{in.ID, model}]) {
			serving = append(serving, in)
		}
	}
	return serving
}

// MarkNotServing records that a peer does not serve a model, for notServingTTL.
func (p *PeerList) MarkNotServing(now time.Time, peer, model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notServing[peerModel{peer, model}] = now.Add(notServingTTL)
}
