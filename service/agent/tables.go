package agent

import (
	"context"

	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/wire"
)

// newSpread passes table versions on; an agent knows no entries by itself, so
// it pulls from those that it hears of.
func (a *Agent) newSpread() *tablesync.Spread {
	return tablesync.NewSpread(tablesync.SpreadConfig{
		Self:    a.header,
		Dialer:  a.cfg.Dialer,
		Holder:  a.cfg.Holder,
		Entries: func() []tablesync.Peer { return nil },
		Log:     a.log,
	})
}

// heard takes note of a peer's header: a newer table is pulled from it.
func (a *Agent) heard(h wire.Header) {
	if a.spread != nil {
		a.spread.Observe(h)
	}
}

// followTable wakes the watchers when another table is in force.
func (a *Agent) followTable(ctx context.Context) {
	for {
		changed := a.cfg.Holder.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			a.log.WithField(observe.FieldVersion, a.cfg.Holder.Version()).Info("table in force")
			a.changed.Fire()
		}
	}
}

func (a *Agent) answerPull(p *wire.PullTable) *wire.Reply {
	reply := tablesync.HandlePull(a.cfg.Holder, a.header(), *p)
	return &reply
}

func (a *Agent) answerPush(doc *wire.TableDocument) *wire.Reply {
	reply := tablesync.HandlePush(a.cfg.Holder, a.header(), *doc)
	return &reply
}

// answerGossip learns published weights and tells what this agent knows.
func (a *Agent) answerGossip(g *wire.Gossip) *wire.Reply {
	for _, p := range g.Weights {
		a.LearnTarget(p.Model, p.Version)
	}
	return &wire.Reply{Gossip: a.ownGossip()}
}

// ownGossip is what this agent knows.
func (a *Agent) ownGossip() *wire.Gossip {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := &wire.Gossip{Members: []wire.Member{{
		ID:           a.cfg.ID,
		Role:         platform.RoleAgent,
		Zone:         a.cfg.Zone,
		Addr:         a.Addr(),
		Incarnation:  a.Incarnation(),
		TableVersion: a.cfg.Holder.Version(),
		Leaving:      a.draining,
	}}}
	if a.spreading.news != nil {
		own.Weights = a.spreading.news.Known()
		return own
	}
	for _, m := range a.engine.models {
		own.Weights = append(own.Weights, wire.Published{Model: m.model, Version: max(m.target, m.version)})
	}
	return own
}
