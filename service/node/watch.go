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

// returnGrace is how long an instance that is missing from the list is kept after an
// outage of the store: if the instance is alive, a row that expired meanwhile is
// written again within two seconds of the store's return.
const returnGrace = 2300 * time.Millisecond

// configWatcher applies configurations and named weight versions to the view.
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
	defer c.view.ConfirmConfig(s.Asked) // after the rows have been applied
	for _, row := range s.Rows {
		if row.Deleted {
			continue // a deleted row leaves its last value in force
		}
		if operator.IsConfig(row.Name) {
			c.applyConfig(row)
			continue
		}
		model, version, ok, err := operator.DecodeNamedVersion(row.Name, row.Value)
		switch {
		case err != nil:
			c.log.WithError(err).WithField("row", row.Name).Error("row not readable")
		case ok && c.view.SetNamedVersion(model, version):
			c.log.WithFields(logrus.Fields{"model": model, "version": version}).Info("weight version named")
		}
	}
}

func (c *configWatcher) applyConfig(row store.Row) {
	config, err := operator.DecodeConfig(row.Value)
	if err != nil {
		// The previous configuration stays in force.
		c.log.WithError(err).WithField("store_version", row.Version).Error("configuration not readable")
		return
	}
	if c.view.SetConfig(config) {
		if len(config.UnknownKinds) > 0 {
			c.log.WithFields(logrus.Fields{"config": config.Version, "routes": config.UnknownKinds}).Warn("routes of unknown kinds, treated as unsafe")
		}
		c.log.WithFields(logrus.Fields{
			"config": config.Version, "routes": len(config.Routes), "store_version": row.Version,
		}).Info("configuration in force")
	}
}

// instanceWatcher applies the list of instances to the view. During an outage of the
// store, and for returnGrace after it, missing instances are kept.
type instanceWatcher struct {
	view *fleet.View
	log  logrus.FieldLogger
	// graceUntil is the time until which missing instances are kept. kept holds those
	// instances, by id, with the time at which each is removed.
	graceUntil time.Time
	kept       map[string]time.Time
	// incarnations orders the incarnations of an instance. unusable holds the reason why
	// a row describes no usable instance, by id, so that each change is logged once.
	incarnations *fleet.Incarnations
	unusable     map[string]string
	decoder      *operator.InstanceDecoder
}

func newInstanceWatcher(view *fleet.View, log logrus.FieldLogger) *instanceWatcher {
	return &instanceWatcher{
		view: view, log: log, kept: map[string]time.Time{}, incarnations: fleet.NewIncarnations(), unusable: map[string]string{},
		decoder: operator.NewInstanceDecoder(),
	}
}

func (w *instanceWatcher) Lost(err error) { store.LogLost(w.log, operator.TableInstances, err) }

// minOutage is the shortest outage of the feed after which missing instances are kept
// for returnGrace. A row expires after three missed heartbeats, and the first may
// already be due when the store fails: 2.4 s, of which a second and more may pass in a
// call without an answer before the outage is noticed.
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
			w.decoder.Forget(id)
			c.removed = append(c.removed, id)
		}
	}
	maps.DeleteFunc(w.unusable, func(id string, _ string) bool { return !listed[id] })
	w.update(c)
}

func (w *instanceWatcher) Apply(s store.Snapshot) { w.update(w.decode(s.Rows)) }

// listChange holds the decoded changes of the instance list.
type listChange struct {
	listed []fleet.Instance
	// removed are the ids whose row was deleted, unusable those whose row describes no
	// usable instance.
	removed, unusable []string
}

// rowContent is the decoded content of an id's latest row.
type rowContent struct {
	instance *fleet.Instance // nil if the row was deleted or is unusable
	removed  bool            // the row was deleted
}

// decode decodes rows and groups them by content; rows of older incarnations are
// ignored. An answer that combines changes may hold several rows of an id, of which the
// last one counts.
func (w *instanceWatcher) decode(rows []store.Row) listChange {
	latest := map[string]rowContent{}
	var order []string
	for _, row := range rows {
		content, ok := w.decodeRow(row)
		if !ok {
			continue
		}
		if _, seen := latest[row.Name]; !seen {
			order = append(order, row.Name)
		}
		latest[row.Name] = content
	}
	var c listChange
	for _, id := range order {
		switch content := latest[id]; {
		case content.instance != nil:
			c.listed = append(c.listed, *content.instance)
		case content.removed:
			c.removed = append(c.removed, id)
		default:
			c.unusable = append(c.unusable, id)
		}
	}
	return c
}

// decodeRow decodes one row. It returns false if the row is to be ignored.
func (w *instanceWatcher) decodeRow(row store.Row) (rowContent, bool) {
	if row.Deleted {
		delete(w.unusable, row.Name)
		w.decoder.Forget(row.Name)
		return rowContent{removed: true}, true
	}
	i, err := w.decoder.Decode(row.Name, row.Value)
	if err != nil {
		w.noteUnusable(row.Name, err.Error())
		return rowContent{}, true
	}
	i.RowVersion = row.Version
	switch w.incarnations.Observe(i.Incarnation(), time.Now()) {
	case fleet.IncarnationOlder:
		w.log.WithFields(logrus.Fields{"instance": i.ID, "born": i.StartedAt}).Debug("entry of an older incarnation ignored")
		return rowContent{}, false
	case fleet.IncarnationUnknown:
		w.noteUnusable(i.ID, "the entry has no start time, but earlier ones of the instance had")
		return rowContent{}, true
	case fleet.IncarnationNewer:
		w.log.WithFields(logrus.Fields{"instance": i.ID, "born": i.StartedAt}).Info("instance restarted")
	}
	w.noteUsable(i.ID)
	return rowContent{instance: &i}, true
}

// noteUnusable records that a row describes no usable instance, and logs it once for
// each reason.
func (w *instanceWatcher) noteUnusable(id, reason string) {
	if w.unusable[id] == reason {
		return
	}
	w.unusable[id] = reason
	w.log.WithFields(logrus.Fields{"instance": id, "reason": reason}).Warn("instance entry not usable")
}

// noteUsable records that a row describes a usable instance, and logs it if the
// previous one did not.
func (w *instanceWatcher) noteUsable(id string) {
	if _, noted := w.unusable[id]; noted {
		delete(w.unusable, id)
		w.log.WithField("instance", id).Info("instance entry usable again")
	}
}

// changedInstances returns the listed instances that differ from the snapshot. With 120
// instances, rows that hold nothing but a new heartbeat arrive a hundred times a second;
// without this filter, each would have the snapshot indexed and the engines assigned
// again.
func changedInstances(s *fleet.Snapshot, listed []fleet.Instance) []fleet.Instance {
	return slices.DeleteFunc(listed, func(i fleet.Instance) bool {
		known, ok := s.Instances[i.ID]
		if !ok || !known.SameContent(i) {
			return false
		}
		// If two instances claim an address, the version of the row decides.
		current, ok := s.AtAddr(i.Addr)
		return ok && current.ID == i.ID
	})
}

// update applies changes to the view. Removed instances are kept until graceUntil.
func (w *instanceWatcher) update(c listChange) {
	now := time.Now()
	changed, removed := c.listed, c.removed
	for _, i := range changed {
		delete(w.kept, i.ID)
	}
	changed = changedInstances(w.view.Snapshot(), changed)
	for _, id := range removed {
		if _, known := w.view.Snapshot().Instances[id]; known {
			w.kept[id] = w.graceUntil
		}
	}
	var expired []string
	for _, id := range c.unusable {
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
		}).Info("instance updated")
	}
	for _, id := range expired {
		w.log.WithField("instance", id).Info("instance gone")
	}
}
