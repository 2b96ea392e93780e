package agent

import (
	"context"

	"mulberryscale.example/observe"
	"mulberryscale.example/platform"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/wire"
)

// newTableSpread returns the exchange of table versions with peers. An agent has no list
// of entries; it pulls newer tables from peers whose headers name a newer version.
func (a *Agent) newTableSpread() *tablesync.Spread {
	return tablesync.NewSpread(tablesync.SpreadConfig{
		Self:    a.header,
		Dialer:  a.cfg.Dialer,
		Holder:  a.cfg.Holder,
		Entries: func() []tablesync.Peer { return nil },
		Log:     a.log,
	})
}

// observeHeader processes a peer's header: if the peer has a newer table, the table is
// pulled from it.
func (a *Agent) observeHeader(h wire.Header) {
	if a.tableSpread != nil {
		a.tableSpread.Observe(h)
	}
}

// watchTable sends the watchers a new report whenever a new table is in force.
func (a *Agent) watchTable(ctx context.Context) {
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

// answerGossip records the published versions that a peer knows, and replies with this
// agent's gossip.
func (a *Agent) answerGossip(g *wire.Gossip) *wire.Reply {
	for _, p := range g.Weights {
		a.LearnTarget(p.Model, p.Version)
	}
	return &wire.Reply{Gossip: a.ownGossip()}
}

// ownGossip returns this agent's membership entry and the published versions it knows.
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
	if a.distribution.gossip != nil {
		own.Weights = a.distribution.gossip.Known()
		return own
	}
	for _, m := range a.engine.models {
		own.Weights = append(own.Weights, wire.Published{Model: m.model, Version: max(m.target, m.version)})
	}
	return own
}
