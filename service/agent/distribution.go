package agent

import (
	"context"
	"errors"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/transport"
	"mulberryscale.example/weights"
	"mulberryscale.example/wire"
)

// stepSpread is the step of refusals of weight parts.
const stepSpread = "agent.weights"

// spreading is what an agent passes on of new weights; its fields are nil for
// an agent that does not know the instance list, and relay also without a store.
type spreading struct {
	peers *weights.PeerList
	news  *weights.News
	relay *weights.Relay
}

func (a *Agent) newSpreading() spreading {
	if a.cfg.Instances == nil || a.cfg.Dialer == nil {
		return spreading{}
	}
	s := spreading{peers: weights.NewPeerList(a.cfg.Instances, a.cfg.ID, a.log, a.cfg.Seed)}
	s.news = weights.NewNews(weights.NewsConfig{
		Header: a.header,
		Dialer: a.cfg.Dialer,
		Peers:  s.peers.All,
		Below:  func(model string, version uint64) []platform.Instance { return a.place(model, version).Children },
		Heard:  a.learn,
		Seed:   a.cfg.Seed,
		Log:    a.log,
	})
	if a.cfg.Weights == nil || a.cfg.Engine == nil {
		return s
	}
	s.relay = weights.NewRelay(weights.RelayConfig{
		Self:   a.instance(),
		Header: a.header,
		Dialer: a.cfg.Dialer,
		Store:  a.cfg.Weights,
		Peers:  s.peers,
		Wanted: a.standing,
		Seed:   a.cfg.Seed,
		Log:    a.log,
	})
	return s
}

func (s *spreading) run(ctx context.Context, a *Agent) {
	if s.peers == nil {
		return
	}
	a.tasks.Go(func() { s.peers.Run(ctx) })
	a.tasks.Go(func() { s.news.Run(ctx) })
}

func (a *Agent) instance() platform.Instance {
	return platform.Instance{ID: a.cfg.ID, Role: platform.RoleAgent, Zone: a.cfg.Zone, Addr: a.Addr(), State: platform.InstanceLive}
}

// LearnTarget tells the agent of a published version. Older ones are passed over.
func (a *Agent) LearnTarget(model string, version uint64) {
	if a.spreading.news != nil {
		a.spreading.news.Learn(model, version)
	}
	// Learn calls learn too, but perhaps in another goroutine that is not done yet.
	a.learn(model, version)
}

// learn makes a published version the model's target, if it is served here.
func (a *Agent) learn(model string, version uint64) {
	if !a.isNews(model, version) {
		return
	}
	turn := a.turnOf(model, version) // takes milliseconds with thousands of peers
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	if !ok || version <= m.target {
		return
	}
	m.target = version
	m.learnedAt = time.Now()
	m.turn = turn
	m.fetchAfter = time.Time{}
	a.consider(m.learnedAt, model)
}

func (a *Agent) isNews(model string, version uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	return ok && version > m.target
}

// turnOf is the agent's turn in a rolling swap; without peers it is at once.
func (a *Agent) turnOf(model string, version uint64) time.Duration {
	if a.spreading.peers == nil {
		return 0
	}
	place := a.place(model, version)
	return weights.Turn(place.Rank, place.Agents, a.cfg.SwapWindow)
}

// place is where this agent stands in the tree of a version.
func (a *Agent) place(model string, version uint64) weights.Place {
	listed := a.spreading.peers.Serving(time.Now(), model)
	return weights.TreePlace(a.instance(), model, version, listed, weights.DefaultFanout)
}

// recall gives a model that the engine has begun to show what was heard of it
// before. The caller holds a.mu.
func (a *Agent) recall(now time.Time, m *modelState) {
	if a.spreading.news == nil {
		return
	}
	for _, p := range a.spreading.news.Known() {
		if p.Model == m.model && p.Version > m.target {
			m.target = p.Version
			m.learnedAt = now
		}
	}
}

// standing says how this agent stands to a version that a peer asks for, and
// learns of it.
func (a *Agent) standing(model string, version uint64) weights.Standing {
	a.LearnTarget(model, version)
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	switch {
	case !ok:
		return weights.NotServed
	case m.fetching == version:
		return weights.Coming
	}
	return weights.Passed
}

// orderable is the version that can be ordered now, 0 for none: the wanted one,
// or the one whose parts are all here.
func (a *Agent) orderable(m *modelState) uint64 {
	wanted := max(m.target, m.version)
	if a.spreading.relay == nil {
		return wanted
	}
	if m.fetched < m.version {
		return 0
	}
	return m.fetched
}

// fetchIfNeeded begins to fetch the wanted version, or gives up the fetch of an
// older one for it. An order uses the fetched parts up. The caller holds a.mu.
func (a *Agent) fetchIfNeeded(now time.Time, m *modelState) {
	wanted := max(m.target, m.version)
	lost := m.machine.State() == phaseQuarantined || m.version == 0
	if a.spreading.relay == nil || a.base == nil || a.base.Err() != nil || wanted == 0 {
		return
	}
	if (wanted == m.version && !lost) || m.fetched == wanted || m.fetching == wanted || m.ordering || now.Before(m.fetchAfter) {
		return
	}
	if m.stopFetch != nil {
		m.stopFetch()
	}
	ctx, cancel := context.WithTimeout(a.base, a.cfg.FetchTimeout)
	m.fetching, m.stopFetch = wanted, cancel
	a.tasks.Go(func() { a.fetch(ctx, cancel, m, wanted) })
}

func (a *Agent) fetch(ctx context.Context, cancel context.CancelFunc, m *modelState, version uint64) {
	defer cancel()
	began := time.Now()
	err := a.spreading.relay.Fetch(ctx, m.model, version)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.fetching != version {
		return // a newer one took its place
	}
	m.fetching, m.stopFetch = 0, nil
	if err != nil {
		m.fetchAfter = now.Add(a.jitter(a.cfg.MaxBackoff))
		if !errors.Is(err, context.Canceled) {
			a.logModel(m).WithField("wanted", version).WithError(err).Warn("weights not fetched")
		}
		return
	}
	a.logModel(m).WithField("fetched", version).WithField("took", now.Sub(began).String()).Info("weights fetched and checked")
	m.fetched = version
	a.consider(now, m.model)
}

// answerPart answers a peer's question for weights.
func (a *Agent) answerPart(ctx context.Context, s transport.Stream, req *wire.Request) {
	relay := a.spreading.relay
	if relay == nil {
		a.reply(s, refused(a.refuse(api.CodeBadRequest, api.NotRunTrue, stepSpread, "weights are not served here")))
		return
	}
	if req.PullManifest != nil {
		manifest, refusal := relay.ServeManifest(ctx, req.PullManifest)
		a.reply(s, &wire.Reply{Manifest: manifest, Refusal: refusal})
		return
	}
	refusal := relay.ServePart(ctx, req.PullPart, func(p *wire.PartData) error {
		return a.reply(s, &wire.Reply{Part: p})
	})
	if refusal != nil {
		a.log.WithField(observe.FieldPeer, s.Peer()).Debug("weight part refused: " + refusal.Message)
		a.reply(s, refused(refusal))
	}
}
