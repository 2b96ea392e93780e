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

// stepSpread is the processing step that refusals of weight parts name.
const stepSpread = "agent.weights"

// distribution holds an agent's side of the distribution of weights among peers. Its
// fields are nil for an agent without an instance list or a dialer; relay is also nil
// without a weight store or an engine.
type distribution struct {
	peers  *weights.PeerList
	gossip *weights.VersionGossip
	relay  *weights.Relay
}

func (a *Agent) newDistribution() distribution {
	if a.cfg.Instances == nil || a.cfg.Dialer == nil {
		return distribution{}
	}
	d := distribution{peers: weights.NewPeerList(a.cfg.Instances, a.cfg.ID, a.log, a.cfg.Seed)}
	d.gossip = weights.NewVersionGossip(weights.VersionGossipConfig{
		Header:       a.header,
		Dialer:       a.cfg.Dialer,
		Peers:        d.peers.All,
		Children:     func(model string, version uint64) []platform.Instance { return a.treePosition(model, version).Children },
		OnNewVersion: a.updateTarget,
		Seed:         a.cfg.Seed,
		Log:          a.log,
	})
	if a.cfg.Weights == nil || a.cfg.Engine == nil {
		return d
	}
	d.relay = weights.NewRelay(weights.RelayConfig{
		Self:      a.instance(),
		Header:    a.header,
		Dialer:    a.cfg.Dialer,
		Store:     a.cfg.Weights,
		Peers:     d.peers,
		OnRequest: a.availability,
		Seed:      a.cfg.Seed,
		Log:       a.log,
	})
	return d
}

func (d *distribution) run(ctx context.Context, a *Agent) {
	if d.peers == nil {
		return
	}
	a.tasks.Go(func() { d.peers.Run(ctx) })
	a.tasks.Go(func() { d.gossip.Run(ctx) })
}

func (a *Agent) instance() platform.Instance {
	return platform.Instance{ID: a.cfg.ID, Role: platform.RoleAgent, Zone: a.cfg.Zone, Addr: a.Addr(), State: platform.InstanceLive}
}

// LearnTarget notifies the agent that a version was published. It ignores versions
// that are not newer than the model's target.
func (a *Agent) LearnTarget(model string, version uint64) {
	if a.distribution.gossip != nil {
		a.distribution.gossip.Record(model, version)
	}
	// Record calls updateTarget too, but for a version that it knows already that call
	// may still be going on in another goroutine.
	a.updateTarget(model, version)
}

// updateTarget makes a published version the model's target if the model is served
// here and the version is newer than its target.
func (a *Agent) updateTarget(model string, version uint64) {
	if !a.isNewTarget(model, version) {
		return
	}
	delay := a.swapDelay(model, version) // before locking: takes milliseconds with thousands of peers
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	if !ok || version <= m.target {
		return
	}
	m.target = version
	m.learnedAt = time.Now()
	m.swapDelay = delay
	m.fetchAfter = time.Time{}
	a.reconcile(m.learnedAt, model)
}

func (a *Agent) isNewTarget(model string, version uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	return ok && version > m.target
}

// swapDelay returns how long after learning of a version this agent waits in a
// rolling swap. It is 0 without peers.
func (a *Agent) swapDelay(model string, version uint64) time.Duration {
	if a.distribution.peers == nil {
		return 0
	}
	position := a.treePosition(model, version)
	return weights.SwapDelay(position.Rank, position.Agents, a.cfg.SwapWindow)
}

// treePosition returns this agent's position in the distribution tree of a version.
func (a *Agent) treePosition(model string, version uint64) weights.Position {
	listed := a.distribution.peers.Serving(time.Now(), model)
	return weights.TreePosition(a.instance(), model, version, listed, weights.DefaultFanout)
}

// restoreTarget sets the target of a model that has just appeared in the engine's
// status to the newest version known from gossip. The caller holds a.mu.
func (a *Agent) restoreTarget(now time.Time, m *modelState) {
	if a.distribution.gossip == nil {
		return
	}
	for _, p := range a.distribution.gossip.Known() {
		if p.Model == m.model && p.Version > m.target {
			m.target = p.Version
			m.learnedAt = now
		}
	}
}

// availability returns whether this agent serves, is fetching or no longer has a version
// that a peer asks for. The version was published, so it may become the target.
func (a *Agent) availability(model string, version uint64) weights.Availability {
	a.LearnTarget(model, version)
	a.mu.Lock()
	defer a.mu.Unlock()
	m, ok := a.engine.models[model]
	switch {
	case !ok:
		return weights.NotServed
	case m.fetching == version:
		return weights.Pending
	}
	return weights.Discarded
}

// orderable returns the version that can be ordered now, 0 for none: without a relay
// the wanted version, otherwise the one whose parts have all been fetched.
func (a *Agent) orderable(m *modelState) uint64 {
	wanted := max(m.target, m.version)
	if a.distribution.relay == nil {
		return wanted
	}
	if m.fetched < m.version {
		return 0
	}
	return m.fetched
}

// fetchIfNeeded starts to fetch the wanted version if it is neither loaded, fetched
// nor being fetched, and cancels the fetch of an older one. A version that is loaded
// but has to be loaded again is fetched again, since an order consumes the fetched
// parts. The caller holds a.mu.
func (a *Agent) fetchIfNeeded(now time.Time, m *modelState) {
	wanted := max(m.target, m.version)
	reload := m.machine.State() == phaseQuarantined || m.version == 0
	if a.distribution.relay == nil || a.base == nil || a.base.Err() != nil || wanted == 0 {
		return
	}
	if (wanted == m.version && !reload) || m.fetched == wanted || m.fetching == wanted || m.ordering || now.Before(m.fetchAfter) {
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
	err := a.distribution.relay.Fetch(ctx, m.model, version)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.fetching != version {
		return // superseded by the fetch of a newer version
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
	a.reconcile(now, m.model)
}

// answerPart serves a peer's request for a manifest or a part of weights.
func (a *Agent) answerPart(ctx context.Context, s transport.Stream, req *wire.Request) {
	relay := a.distribution.relay
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
