package node

import (
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
func (c *configWatcher) Lost(err error)           { store.LogLoss(c.log, operator.TableOperator, err) }
func (c *configWatcher) Regained(after time.Duration) {
	store.LogReturn(c.log, operator.TableOperator, after)
}

func (c *configWatcher) Apply(s store.Snapshot) {
	for _, row := range s.Rows {
		if row.Deleted {
			continue // nothing that is in force is taken back
		}
		if operator.IsConfig(row.Name) {
			c.config(row)
			continue
		}
		model, version, ok, err := operator.DecodeNamed(row.Name, row.Value)
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
	// heardAt is when the store last answered.
	heardAt time.Time
	// graceUntil is until when missing instances are kept; kept are those.
	graceUntil time.Time
	kept       map[string]time.Time
}

func (w *instanceWatcher) Lost(err error) { store.LogLoss(w.log, operator.TableInstances, err) }
func (w *instanceWatcher) Regained(after time.Duration) {
	store.LogReturn(w.log, operator.TableInstances, after)
}

// outage is a silence of the feed that counts as an outage of the store.
const outage = store.FeedWait + 500*time.Millisecond

func (w *instanceWatcher) heard() {
	now := time.Now()
	if !w.heardAt.IsZero() && now.Sub(w.heardAt) > outage {
		w.graceUntil = now.Add(returnGrace)
	}
	w.heardAt = now
}

func (w *instanceWatcher) Replace(s store.Snapshot) {
	w.heard()
	listed := map[string]fleet.Instance{}
	for _, row := range s.Rows {
		if i, ok := w.decode(row); ok {
			listed[i.ID] = i
		}
	}
	var gone []string
	for id := range w.view.Snapshot().Instances {
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	}
	var list []fleet.Instance
	for _, i := range listed {
		list = append(list, i)
	}
	w.update(list, gone)
}

func (w *instanceWatcher) Apply(s store.Snapshot) {
	w.heard()
	var changed []fleet.Instance
	var gone []string
	for _, row := range s.Rows {
		if row.Deleted {
			gone = append(gone, row.Name)
			continue
		}
		if i, ok := w.decode(row); ok {
			changed = append(changed, i)
		}
	}
	w.update(changed, gone)
}

func (w *instanceWatcher) decode(row store.Row) (fleet.Instance, bool) {
	i, err := operator.DecodeInstance(row.Name, row.Value)
	if err != nil {
		w.log.WithError(err).WithField("instance", row.Name).Error("instance not readable")
		return fleet.Instance{}, false
	}
	i.Entry = row.Version
	return i, true
}

// update puts changes in force, with those that are gone kept for their grace.
func (w *instanceWatcher) update(changed []fleet.Instance, gone []string) {
	now := time.Now()
	for _, i := range changed {
		delete(w.kept, i.ID)
	}
	for _, id := range gone {
		if _, known := w.view.Snapshot().Instances[id]; known {
			w.kept[id] = w.graceUntil
		}
	}
	var expired []string
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
		}).Info("instance known")
	}
	for _, id := range expired {
		w.log.WithField("instance", id).Info("instance gone")
	}
}
