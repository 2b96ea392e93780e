package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// claimTimeout limits a claim. While the store does not answer there are no trials, and callers
// are refused at once.
const claimTimeout = 100 * time.Millisecond

// claim claims the next trial of a content; only one of all processes gets it.
func (t *Tracker) claim(ctx context.Context, fp Fingerprint) bool {
	e, ok := t.beginClaim(fp)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := t.commitTrial(ctx, e)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.claiming, fp)
	if err != nil {
		t.Log.WithError(err).WithField(observe.FieldContent, fp).Info("trial not claimed")
		return false
	}
	t.histories.record(e)
	t.Counters.Add(observe.NameQuarantine, rowTrial, 1)
	t.Log.WithFields(logrus.Fields{observe.FieldContent: fp, "trial": e.trial}).Warn("trial of a quarantined content")
	return true
}

// beginClaim returns the trial to claim, unless another request of this process is claiming it or
// has claimed it, or the content was cleared meanwhile.
func (t *Tracker) beginClaim(fp Fingerprint) (event, bool) {
	now, _ := t.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, _ := t.histories.state(fp, now); state != TrialDue || t.claiming[fp] {
		return event{}, false
	}
	t.claiming[fp] = true
	return event{fingerprint: fp, trial: t.histories.byFingerprint[fp].nextTrial(), value: rowValue{At: now, By: t.Process}}, true
}

// commitTrial writes the row of a trial unless another process has written it. A write with an
// unknown outcome counts as failed, since it may still take effect.
func (t *Tracker) commitTrial(ctx context.Context, e event) error {
	if t.Rows == nil {
		return nil
	}
	value, err := codec.Marshal(e.value)
	if err != nil {
		return err
	}
	key := trialKey(e.fingerprint, e.trial)
	_, err = t.Rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: key}},
		Put: []store.Row{{Key: key, Value: value}},
	})
	return err
}
