package node

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

// returnGrace is how long an instance that is missing in a list is kept after
// the store was away: entries that lapsed meanwhile are back within two
// seconds of its return, if their instances live.
const returnGrace = 2300 * time.Millisecond

// configWatcher puts configurations and named versions in force.
type configWatcher struct {
	view *fleet.View
	log  logrus.FieldLogger
}

func (c *configWatcher) Replace(s store.Snapshot) { c.Apply(s) }
func (c *configWatcher) Lost(err error)           { store.LogLost(c.log, operator.TableOperator, err) }
func (c *configWatcher) Regained(after time.Duration) {
	store.LogRegained(c.log, operator.TableOperator, after)
}

func (c *configWatcher) Apply(s store.Snapshot) {
	defer c.view.ConfirmConfig(s.Asked) // after its rows are in force
	for _, row := range s.Rows {
		if row.Deleted {
			continue // nothing that is in force is taken back
		}
		if operator.IsConfig(row.Name) {
			c.config(row)
			continue
		}
		model, version, ok, err := operator.DecodeNamedVersion(row.Name, row.Value)
		switch {
		case err != nil:
			c.log.WithError(err).WithField("row", row.Name).Error("row not readable")
		case ok && c.view.SetNamed(model, version):
			c.log.WithFields(logrus.Fields{"model": model, "version": version}).Info("weight version named")
		}
	}
}

func (c *configWatcher) config(row store.Row) {
	config, err := operator.DecodeConfig(row.Value)
	if err != nil {
		// What is in force stays in force.
		c.log.WithError(err).WithField("store_version", row.Version).Error("configuration not readable")
		return
	}
	if c.view.SetConfig(config) {
		if len(config.UnknownKinds) > 0 {
			c.log.WithFields(logrus.Fields{"config": config.Version, "routes": config.UnknownKinds}).Warn("routes of unknown kinds, taken as unsafe")
		}
		c.log.WithFields(logrus.Fields{
			"config": config.Version, "routes": len(config.Routes), "store_version": row.Version,
		}).Info("configuration in force")
	}
}

// instanceWatcher keeps the list of instances. While the store is away, and
// for a while after its return, missing instances are kept.
type instanceWatcher struct {
	view *fleet.View
	log  logrus.FieldLogger
	// graceUntil is until when missing instances are kept; kept are those.
	graceUntil time.Time
	kept       map[string]time.Time
	// births tell incarnations apart; unusable says why a row names no
	// instance, by id, so that each change is logged once.
	births   *fleet.LatestIncarnations
	unusable map[string]string
}

func newInstanceWatcher(view *fleet.View, log logrus.FieldLogger) *instanceWatcher {
	return &instanceWatcher{
		view: view, log: log, kept: map[string]time.Time{}, births: fleet.NewLatestIncarnations(), unusable: map[string]string{},
	}
}

func (w *instanceWatcher) Lost(err error) { store.LogLost(w.log, operator.TableInstances, err) }

// minOutage is the shortest loss of the feed that earns missing entries their
// grace. An entry lapses after three heartbeats of silence, the first of which may
// be over when the store goes: 2.4 s, of which a call that is not answered may
// hide a second and more.
const minOutage = time.Second

func (w *instanceWatcher) Regained(after time.Duration) {
	store.LogRegained(w.log, operator.TableInstances, after)
	if after > minOutage {
		w.graceUntil = time.Now().Add(returnGrace)
	}
}

func (w *instanceWatcher) Replace(s store.Snapshot) {
	c := w.decode(s.Rows)
	listed := map[string]bool{}
	for _, row := range s.Rows {
		listed[row.Name] = true
	}
	for id := range w.view.Snapshot().Instances {
		if !listed[id] {
			c.gone = append(c.gone, id)
		}
	}
	maps.DeleteFunc(w.unusable, func(id string, _ string) bool { return !listed[id] })
	w.update(c)
}

func (w *instanceWatcher) Apply(s store.Snapshot) { w.update(w.decode(s.Rows)) }

// listChange is what rows of the list say.
type listChange struct {
	changed []fleet.Instance
	// gone have no row any more, replaced have one that names no instance.
	gone, replaced []string
}

// lastWord is what the latest row of an id says: an instance, or neither.
type lastWord struct {
	instance *fleet.Instance
	gone     bool // no row any more; false with no instance is a row that names none
}

// decode sorts rows by what they say; former incarnations say nothing. An answer
// that gathers changes may hold several rows of an id: the last one stands.
func (w *instanceWatcher) decode(rows []store.Row) listChange {
	words := map[string]lastWord{}
	var order []string
	for _, row := range rows {
		word, ok := w.word(row)
		if !ok {
			continue
		}
		if _, said := words[row.Name]; !said {
			order = append(order, row.Name)
		}
		words[row.Name] = word
	}
	var c listChange
	for _, id := range order {
		switch word := words[id]; {
		case word.instance != nil:
			c.changed = append(c.changed, *word.instance)
		case word.gone:
			c.gone = append(c.gone, id)
		default:
			c.replaced = append(c.replaced, id)
		}
	}
	return c
}

// word is what one row says; false is nothing.
func (w *instanceWatcher) word(row store.Row) (lastWord, bool) {
	if row.Deleted {
		delete(w.unusable, row.Name)
		return lastWord{gone: true}, true
	}
	i, err := operator.DecodeInstance(row.Name, row.Value)
	if err != nil {
		w.noteUnusable(row.Name, err.Error())
		return lastWord{}, true
	}
	i.RowVersion = row.Version
	switch w.births.Observe(i.Incarnation(), time.Now()) {
	case fleet.IncarnationOlder:
		w.log.WithFields(logrus.Fields{"instance": i.ID, "born": i.StartedAt}).Debug("entry of a former incarnation")
		return lastWord{}, false
	case fleet.IncarnationUnknown:
		w.noteUnusable(i.ID, "it does not say its birth, as the instance has done before")
		return lastWord{}, true
	case fleet.IncarnationNewer:
		w.log.WithFields(logrus.Fields{"instance": i.ID, "born": i.StartedAt}).Info("instance started again")
	}
	w.noteUsable(i.ID)
	return lastWord{instance: &i}, true
}

// noteUnusable logs that a row names no instance to use, once for each reason.
func (w *instanceWatcher) noteUnusable(id, reason string) {
	if w.unusable[id] == reason {
		return
	}
	w.unusable[id] = reason
	w.log.WithFields(logrus.Fields{"instance": id, "reason": reason}).Warn("entry names no instance to use")
}

func (w *instanceWatcher) noteUsable(id string) {
	if _, was := w.unusable[id]; was {
		delete(w.unusable, id)
		w.log.WithField("instance", id).Info("entry names its instance again")
	}
}

// news are the instances of which the list says anything that the snapshot does
// not have. Heartbeats of 120 instances change nothing a hundred times a second;
// each would have the snapshot indexed and the engines dealt anew.
func news(s *fleet.Snapshot, heard []fleet.Instance) []fleet.Instance {
	return slices.DeleteFunc(heard, func(i fleet.Instance) bool {
		known, ok := s.Instances[i.ID]
		if !ok || !known.SameContent(i) {
			return false
		}
		// Where two claim an address, the version of the entry decides between them.
		stands, ok := s.AtAddr(i.Addr)
		return ok && stands.ID == i.ID
	})
}

// update puts changes in force, with those that are gone kept for their grace.
func (w *instanceWatcher) update(c listChange) {
	now := time.Now()
	changed, gone := c.changed, c.gone
	for _, i := range changed {
		delete(w.kept, i.ID)
	}
	changed = news(w.view.Snapshot(), changed)
	for _, id := range gone {
		if _, known := w.view.Snapshot().Instances[id]; known {
			w.kept[id] = w.graceUntil
		}
	}
	var expired []string
	for _, id := range c.replaced {
		delete(w.kept, id)
		if _, known := w.view.Snapshot().Instances[id]; known {
			expired = append(expired, id)
		}
	}
	for id, until := range w.kept {
		if !now.Before(until) {
			expired = append(expired, id)
			delete(w.kept, id)
		}
	}
	if len(changed)+len(expired) == 0 && w.view.Snapshot().Listed {
		return
	}
	w.view.UpdateInstances(changed, expired)
	for _, i := range changed {
		w.log.WithFields(logrus.Fields{
			"instance": i.ID, "service": i.Service, "addr": i.Addr, "draining": i.Draining, "versions": i.Versions,
			"born": i.StartedAt,
		}).Info("instance known")
	}
	for _, id := range expired {
		w.log.WithField("instance", id).Info("instance gone")
	}
}
