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
)

// task is an item that this agent holds: it waits, runs, is scored, or its result is
// being appended.
type task struct {
	j     *workJob
	item  *Item
	index int
	// text holds the events so far, versions the weight versions that generated them.
	text     []string
	versions []uint64
	// lineage identifies the text; saved is the number of its events in the store.
	lineage string
	saved   int
	// complete is true if the text has its last event; such a task waits for its
	// score or for its result to be appended, and no longer needs the engine.
	complete bool
	// failures counts the runs that the engine failed, brokenAnswers the answers that
	// broke off or stalled since the last event.
	failures      int
	brokenAnswers int
	// rewardFailures counts the failures of the reward call, over all agents that have
	// held the item, as far as is known.
	rewardFailures int
	// savedComplete is true if the text is saved as complete; savedFailures is the
	// saved number of failures of the reward call.
	savedComplete bool
	savedFailures int
	// avoid are the addresses of engines whose answers to the item broke off repeatedly.
	avoid []string
	// idleSince is since when the item has been at no engine, over all agents that have held it, as far as
	// is known; idleLogged is when that was last logged here.
	idleSince  time.Time
	idleLogged time.Time
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// cancel cancels the run, or the scoring of a complete text; nil if neither is in
	// progress.
	cancel context.CancelCauseFunc
	// stopped is closed when the run or the scoring has returned.
	stopped chan struct{}
	// sentTo is the incarnation of the engine to which the item was last sent.
	sentTo fleet.Incarnation
	// handingOver is true while the item is being handed over to another agent.
	handingOver bool
	// finished is true if the result is in the outbox.
	finished bool
}

// compareTasks orders tasks by when they should start: by the queue time of their
// job, so mostly the older job first, since a trainer's next step waits for it;
// within a job those that ran before, then the longest, since the longest decides
// when the job is done.
func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.j.job.queueTime(), b.j.job.queueTime()),
		cmp.Compare(len(b.text), len(a.text)),
		cmp.Compare(b.item.expectedWork(), a.item.expectedWork()),
		cmp.Compare(a.item.ID, b.item.ID),
	)
}

// stop cancels the run or the scoring, if any. It is called with the worker's mu held.
func (t *task) stop(cause error) {
	if t.cancel != nil {
		t.cancel(cause)
	}
}

// textAllowed reports whether the job allows the weight versions of the text.
func (t *task) textAllowed() bool { return t.j.job.allowsVersions(t.versions) }

// allowsVersions reports whether the job allows text of these weight versions.
func (j *Job) allowsVersions(versions []uint64) bool {
	if len(versions) == 0 {
		return true
	}
	if slices.Min(versions) < j.MinVersion {
		return false
	}
	return !j.SingleVersion || len(versions) == 1
}

// discardText discards the text, so that the next run starts from the beginning.
func (t *task) discardText() {
	t.text, t.versions, t.complete = nil, nil, false
	t.beginLineage()
}

// beginLineage gives the text a new lineage, of which nothing is saved yet.
func (t *task) beginLineage() {
	t.lineage, t.saved, t.savedComplete, t.savedFailures = newLineage(), 0, false, 0
}

// newLineage returns a unique lineage.
func newLineage() string { return uuid.NewString() }

// add appends an event to the text.
func (t *task) add(e Event) {
	t.text = append(t.text, e.Data)
	t.brokenAnswers = 0
	if !slices.Contains(t.versions, e.Version) {
		t.versions = append(t.versions, e.Version)
	}
}

// fields returns the log fields of a task.
func (t *task) fields() logrus.Fields {
	return logrus.Fields{
		observe.FieldItem: t.item.ID, observe.FieldJob: t.j.job.ID, "events": len(t.text),
		"versions": t.versions, "failures": t.failures, "breaks": t.brokenAnswers,
	}
}
