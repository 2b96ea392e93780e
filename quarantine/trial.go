package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/observe"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// claimTimeout bounds a claim. While the store does not answer there are no trials,
// and whoever asks is told at once.
const claimTimeout = 100 * time.Millisecond

// claim claims the next trial of a content: of all processes one gets it.
func (k *Tracker) claim(ctx context.Context, s Fingerprint, limit Limit) bool {
	e, ok := k.beginClaim(s, limit)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := k.commitTrial(ctx, e)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.claiming, s)
	if err != nil {
		k.Log.WithError(err).WithField(observe.FieldContent, s).Info("trial not claimed")
		return false
	}
	k.book.note(e)
	k.Counters.Add(observe.NameQuarantine, rowTrial, 1)
	k.Log.WithFields(logrus.Fields{observe.FieldContent: s, "trial": e.trial}).Warn("content is tried out")
	return true
}

// beginClaim returns the trial to claim, unless another request of this process
// claims it or has, or the content was cleared meanwhile.
func (k *Tracker) beginClaim(s Fingerprint, limit Limit) (event, bool) {
	now, _ := k.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if verdict, _ := k.book.judge(s, limit, now); verdict != TrialDue || k.claiming[s] {
		return event{}, false
	}
	k.claiming[s] = true
	return event{subject: s, trial: k.book.subjects[s].nextTrial(), mark: mark{At: now, By: k.Process}}, true
}

// commitTrial writes a trial's row unless another process has. One whose outcome is
// not known counts as another's: it may stand yet.
func (k *Tracker) commitTrial(ctx context.Context, e event) error {
	if k.Rows == nil {
		return nil
	}
	value, err := codec.Marshal(e.mark)
	if err != nil {
		return err
	}
	key := trialKey(e.subject, e.trial)
	_, err = k.Rows.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: key}},
		Put: []store.Row{{Key: key, Value: value}},
	})
	return err
}
