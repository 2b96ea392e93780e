package batch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// The text of long items is saved while they run, so that an item is resumed after
// its saved text when its agent crashes, instead of starting over: the longest items
// take seven seconds and decide when a training step is done.
//
//	batch_progress   part job:   segments of text, appended
//	batch_leftovers  part organisation and model: the text of items that were unfinished when
//	                 their job ended, named by the item, for a later job that asks for them again
const (
	tableProgress  = "batch_progress"
	tableLeftovers = "batch_leftovers"
)

const (
	// saveInterval is the minimum time between two saves of one agent. A crash
	// loses up to that much of the progress of each running item.
	saveInterval = 700 * time.Millisecond
	// saveWriteShare is the share of the store's write rate that all agents together
	// may use to save text; with many agents each saves less often.
	saveWriteShare = 0.25
	// minSavedEvents is the number of events from which on a text is worth saving.
	minSavedEvents = 12
	// leftoverRetention is how long the text of an unfinished item is kept: a trainer
	// asks for it again within two or three steps, if at all.
	leftoverRetention = 40 * time.Second
)

// segment is a part of an item's text: the events that follow the first From events.
type segment struct {
	Index int `cbor:"1,keyasint"`
	// Lineage identifies the generation that the text belongs to. Segments of two
	// lineages are never joined, since each generates a text of its own.
	Lineage  string   `cbor:"2,keyasint"`
	From     int      `cbor:"3,keyasint"`
	Events   []string `cbor:"4,keyasint"`
	Versions []uint64 `cbor:"5,keyasint"`
	// Complete is true if the text ends with Events.
	Complete bool `cbor:"6,keyasint,omitempty"`
	// RewardFailures is the number of failures of the item's reward call when the
	// segment was written.
	RewardFailures int `cbor:"7,keyasint,omitempty"`
}

// leftover is the text of an item that was unfinished when its job ended.
type leftover struct {
	Events   []string      `cbor:"1,keyasint"`
	Versions []uint64      `cbor:"2,keyasint"`
	Saved    time.Duration `cbor:"3,keyasint"` // the store's clock
	Complete bool          `cbor:"4,keyasint,omitempty"`
}

// savedText is text from which an item can be resumed.
type savedText struct {
	events   []string
	versions []uint64
	complete bool
	// rewardFailures is the number of failures of the reward call in the same job.
	rewardFailures int
}

// newTask returns a task that resumes after the text.
func (s savedText) newTask(index int) *task {
	return &task{index: index, text: s.events, versions: s.versions, complete: s.complete, rewardFailures: s.rewardFailures}
}

// handoverItem returns an item with the text, for the handover to another agent.
func (s savedText) handoverItem(index int) HandoverItem {
	return HandoverItem{Index: index, Text: s.events, Versions: s.versions, Complete: s.complete, RewardFailures: s.rewardFailures}
}

// saveProgress appends segments. It is not retried: the next save repeats the
// segments that were not acknowledged.
func (l *Ledger) saveProgress(ctx context.Context, jobID, name string, segments []segment) error {
	data, err := codec.Marshal(segments)
	if err != nil {
		return fmt.Errorf("%w: encode progress: %v", store.ErrInvalid, err)
	}
	tx := store.Tx{}
	for i, chunk := range splitBytes(data, l.rowLimit()) {
		key := store.Key{Table: tableProgress, Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.Put = append(tx.Put, store.Row{Key: key, Value: chunk})
	}
	_, err = l.Store.Commit(ctx, tx)
	return err
}

// progress reads the best saved text of each item of a job, by index, see joinSegments.
func (l *Ledger) progress(ctx context.Context, job *Job) (map[int]savedText, error) {
	s, err := store.ListAll(ctx, l.Store, store.Range{Table: tableProgress, Part: job.ID})
	if err != nil {
		return nil, err
	}
	var all []segment
	for _, data := range joinRows(s.Rows) {
		var segments []segment
		if err := codec.Unmarshal(data, &segments); err != nil {
			return nil, fmt.Errorf("progress of job %s: %w", job.ID, err)
		}
		all = append(all, segments...)
	}
	return joinSegments(all), nil
}

// joinRows joins the values of the rows of each transaction; the names of its rows
// differ only in a sequence number.
func joinRows(rows []store.Row) [][]byte {
	slices.SortFunc(rows, func(a, b store.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	var joined [][]byte
	for i, row := range rows {
		if i == 0 || row.Version != rows[i-1].Version {
			joined = append(joined, nil)
		}
		joined[len(joined)-1] = append(joined[len(joined)-1], row.Value...)
	}
	return joined
}

// joinSegments joins segments within each lineage and keeps the best text of each
// item: a complete one, or else the longest. Each agent that holds the item adds its
// failures of the reward call to the count that it received, so the largest count
// was really reached.
func joinSegments(segments []segment) map[int]savedText {
	slices.SortStableFunc(segments, func(a, b segment) int { return cmp.Compare(a.From, b.From) })
	byLineage := map[string]savedText{}
	best := map[int]savedText{}
	failures := map[int]int{}
	for _, s := range segments {
		failures[s.Index] = max(failures[s.Index], s.RewardFailures)
		key := s.Lineage + "/" + strconv.Itoa(s.Index)
		text, extended := byLineage[key].extend(s)
		if !extended {
			continue
		}
		byLineage[key] = text
		if text.betterThan(best[s.Index]) {
			best[s.Index] = text
		}
	}
	for index, n := range failures {
		text := best[index]
		text.rewardFailures = n
		best[index] = text
	}
	return best
}

// extend returns the text extended by a segment; false if there is a gap before the
// segment or it adds nothing.
func (s savedText) extend(next segment) (savedText, bool) {
	end := next.From + len(next.Events)
	longer := end > len(s.events)
	completes := next.Complete && !s.complete && end == len(s.events)
	if next.From > len(s.events) || (!longer && !completes) {
		return s, false
	}
	s.events = append(slices.Clip(s.events[:next.From]), next.Events...)
	s.versions, s.complete = next.Versions, next.Complete
	return s, true
}

// betterThan reports whether an item should be resumed from this text rather than
// from another.
func (s savedText) betterThan(other savedText) bool {
	if s.complete != other.complete {
		return s.complete
	}
	return len(s.events) > len(other.events)
}

// saveTexts saves the text of running items periodically until ctx is done.
func (w *Worker) saveTexts(ctx context.Context) {
	for n := 1; pause.Sleep(ctx, w.saveInterval()) == nil; n++ {
		w.mu.Lock()
		due := w.unsavedSegments()
		w.mu.Unlock()
		for j, segments := range due {
			w.saveSegments(ctx, j, segments, fmt.Sprintf("%s-%s-%06d", w.Node, w.Incarnation, n))
		}
	}
}

// saveInterval returns the time between two saves. It grows with the number of
// agents, so that their saves together stay within saveWriteShare of the store's
// write rate.
func (w *Worker) saveInterval() time.Duration {
	agents := len(w.View.Snapshot().OfService(w.Service))
	if w.StoreWriteRate == 0 {
		return saveInterval
	}
	fair := time.Duration(float64(agents) / (saveWriteShare * float64(w.StoreWriteRate)) * float64(time.Second))
	return max(saveInterval, fair)
}

// unsavedSegments returns the unsaved text of running items and of complete ones that
// wait for their score, by job. It is called with w.mu held.
func (w *Worker) unsavedSegments() map[*workJob][]segment {
	due := map[*workJob][]segment{}
	for t := range w.running {
		if len(t.text) >= minSavedEvents && len(t.text) > t.saved && !t.j.ended {
			due[t.j] = append(due[t.j], t.segment())
		}
	}
	for t := range w.scoring {
		if (!t.savedComplete || t.rewardFailures > t.savedFailures) && !t.j.ended {
			due[t.j] = append(due[t.j], t.segment())
		}
	}
	return due
}

// segment returns the part of the task's text and state that is not saved yet.
func (t *task) segment() segment {
	return segment{
		Index: t.index, Lineage: t.lineage, From: t.saved, Events: slices.Clone(t.text[t.saved:]),
		Versions: slices.Clone(t.versions), Complete: t.complete, RewardFailures: t.rewardFailures,
	}
}

// saveSegments saves segments of a job and records what was saved in its tasks.
func (w *Worker) saveSegments(ctx context.Context, j *workJob, segments []segment, name string) {
	if err := w.Ledger.saveProgress(ctx, j.job.ID, name, segments); err != nil {
		w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("text not saved")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range segments {
		if t := j.tasks[s.Index]; t != nil && t.lineage == s.Lineage {
			t.saved = max(t.saved, s.From+len(s.Events))
			t.savedComplete = t.savedComplete || s.Complete
			t.savedFailures = max(t.savedFailures, s.RewardFailures)
		}
	}
}

// saveLeftovers stores the texts, by item id, of the items that were unfinished when
// their job ended.
func (w *Worker) saveLeftovers(j *workJob, texts map[string]savedText) {
	now, ok := w.Now()
	if !ok {
		return
	}
	tx := store.Tx{}
	for id, text := range texts {
		data, err := codec.Marshal(leftover{Events: text.events, Versions: text.versions, Saved: now, Complete: text.complete})
		if err != nil || len(data) > w.Ledger.rowLimit() {
			continue // is generated from the beginning if it is asked for again
		}
		tx.Put = append(tx.Put, store.Row{Key: w.leftoverKey(j, id), Value: data})
	}
	if len(tx.Put) == 0 {
		return
	}
	_, err := w.Ledger.Store.Commit(w.ctx, tx)
	w.Log.WithError(err).WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": len(tx.Put)}).Info("unfinished text saved")
}

func (w *Worker) leftoverKey(j *workJob, item string) store.Key {
	return store.Key{Table: tableLeftovers, Part: ScopedID(j.job.Organisation, cmp.Or(j.job.Model, j.job.Route)), Name: item}
}

// leftovers reads the unfinished texts of earlier jobs, by item id, and deletes the
// expired ones.
func (w *Worker) leftovers(j *workJob) map[string]savedText {
	key := w.leftoverKey(j, "")
	s, err := store.ListAll(w.ctx, w.Ledger.Store, store.Range{Table: key.Table, Part: key.Part})
	if err != nil {
		w.Log.WithError(err).WithField(observe.FieldJob, j.job.ID).Warn("unfinished text not read")
		return nil
	}
	found := map[string]savedText{}
	expired := store.Tx{}
	for _, row := range s.Rows {
		var l leftover
		if err := codec.Unmarshal(row.Value, &l); err != nil {
			w.Log.WithError(err).WithField(observe.FieldItem, row.Name).Error("unfinished text not readable")
			continue
		}
		if s.Now-l.Saved > leftoverRetention && len(expired.Delete) < maxDeletes {
			expired.Delete = append(expired.Delete, row.Key)
			continue
		}
		found[row.Name] = savedText{events: l.Events, versions: l.Versions, complete: l.Complete}
	}
	if len(expired.Delete) > 0 {
		if _, err := w.Ledger.Store.Commit(w.ctx, expired); err != nil {
			w.Log.WithError(err).Warn("old unfinished text not removed")
		}
	}
	return found
}
