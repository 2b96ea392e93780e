package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
	"mulberryscale.example/quarantine"
)

// task is an item that is held here.
type task struct {
	j     *workJob
	item  *Item
	index int
	// text are the events so far, versions those that generated them.
	text     []string
	versions []uint64
	// lineage names the text; saved is how many of its events are in the store.
	lineage string
	saved   int
	// complete says that the text has its last event; such a task waits for its
	// score or for its result to be appended, and needs the engine no more.
	complete bool
	// failures counts the engine's failures, breaks its broken answers since
	// the last event.
	failures      int
	brokenAnswers int
	// rewardFailures counts the failures that the reward call was answered
	// with, by all holders of the item as far as is known.
	rewardFailures int
	// savedComplete says that the store knows the text as whole, savedFailures how
	// many failures of the reward call it knows of.
	savedComplete bool
	savedFailures int
	// avoid are engines where it broke off again and again.
	avoid []string
	// notBefore is when it may be sent again.
	notBefore time.Time
	// cancel stops the run, or the scoring of a whole text; nil while none of
	// them goes on.
	cancel context.CancelCauseFunc
	// stopped is closed when the run or the scoring has ended.
	stopped chan struct{}
	// sentTo is the incarnation of the engine that it was last sent to.
	sentTo fleet.Incarnation
	// subject names its content, empty until it is asked for.
	subject quarantine.Fingerprint
	// handingOver says that it is being handed over to another agent.
	handingOver bool
	// finished says that the outbox has the result.
	finished bool
}

// compareTasks orders tasks by when they should start: those of the job whose turn
// comes first, mostly the older one, since a trainer's next step waits for it; within a job those that ran
// before, then the longest, since the longest decides when a job is done.
func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.j.job.queueTime(), b.j.job.queueTime()),
		cmp.Compare(len(b.text), len(a.text)),
		cmp.Compare(b.item.expectedWork(), a.item.expectedWork()),
		cmp.Compare(a.item.ID, b.item.ID),
	)
}

// stop ends the run if there is one. It is called with the worker's mu held.
func (t *task) stop(cause error) {
	if t.cancel != nil {
		t.cancel(cause)
	}
}

// textAllowed reports whether the text may be used under the job's bounds.
func (t *task) textAllowed() bool { return t.j.job.allowsVersions(t.versions) }

// allowsVersions reports whether text of some versions may be used in the job.
func (j *Job) allowsVersions(versions []uint64) bool {
	if len(versions) == 0 {
		return true
	}
	if slices.Min(versions) < j.MinVersion {
		return false
	}
	return !j.SingleVersion || len(versions) == 1
}

// discardText drops the text.
func (t *task) discardText() {
	t.text, t.versions, t.complete = nil, nil, false
	t.beginLineage()
}

// beginLineage names the text anew, so that the store knows nothing of it yet.
func (t *task) beginLineage() {
	t.lineage, t.saved, t.savedComplete, t.savedFailures = newLineage(), 0, false, 0
}

// newLineage names a new text.
func newLineage() string { return uuid.NewString() }

// add takes an event.
func (t *task) add(e Event) {
	t.text = append(t.text, e.Data)
	t.brokenAnswers = 0
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

func (t *task) fields() logrus.Fields {
	return logrus.Fields{
		observe.FieldItem: t.item.ID, observe.FieldJob: t.j.job.ID, "events": len(t.text),
		"versions": t.versions, "failures": t.failures, "breaks": t.brokenAnswers,
	}
}
