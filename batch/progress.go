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

// The text of long items is saved while they run, so that an item whose agent
// dies goes on where it was instead of at its beginning: the longest items take
// seven seconds and decide when a step is done.
//
//	batch_progress   part job:   segments of text, appended
//	batch_leftovers  part organisation and model: the text of items whose job ended before them,
//	                 named by the item, for a later job that asks for them again
const (
	tableProgress  = "batch_progress"
	tableLeftovers = "batch_leftovers"
)

const (
	// saveInterval is the least time between two saves of one agent. A crash
	// costs that much of each running item.
	saveInterval = 700 * time.Millisecond
	// saveWriteShare is the share of the store's writes that all agents together
	// may use to save text; with many agents each saves less often.
	saveWriteShare = 0.25
	// minSavedEvents is the number of events below which an item is not worth saving.
	minSavedEvents = 12
	// leftoverRetention is how long the text of an unfinished item is kept: a later
	// step asks for it within two or three steps, if at all.
	leftoverRetention = 40 * time.Second
)

// segment is a part of an item's text: the events after From.
type segment struct {
	Index int `cbor:"1,keyasint"`
	// Lineage names the run that the text belongs to. Text of two lineages is
	// never joined, since each run generates its own.
	Lineage  string   `cbor:"2,keyasint"`
	From     int      `cbor:"3,keyasint"`
	Events   []string `cbor:"4,keyasint"`
	Versions []uint64 `cbor:"5,keyasint"`
	// Complete says that the text ends with Events.
	Complete bool `cbor:"6,keyasint,omitempty"`
	// RewardFailures is how many failures the item's reward call had been
	// answered with when the segment was written.
	RewardFailures int `cbor:"7,keyasint,omitempty"`
}

// leftover is the text of an unfinished item of an ended job.
type leftover struct {
	Events   []string      `cbor:"1,keyasint"`
	Versions []uint64      `cbor:"2,keyasint"`
	Saved    time.Duration `cbor:"3,keyasint"` // the store's clock
	Complete bool          `cbor:"4,keyasint,omitempty"`
}

// savedText is text that an item can go on from.
type savedText struct {
	events   []string
	versions []uint64
	complete bool
	// rewardFailures are those of the reward call in the same job.
	rewardFailures int
}

// newTask is a newTask that goes on from the text.
func (s savedText) newTask(index int) *task {
	return &task{index: index, text: s.events, versions: s.versions, complete: s.complete, rewardFailures: s.rewardFailures}
}

// handoverItem is an item with the text, as one agent gives it to another.
func (s savedText) handoverItem(index int) HandoverItem {
	return HandoverItem{Index: index, Text: s.events, Versions: s.versions, Complete: s.complete, RewardFailures: s.rewardFailures}
}

// saveProgress appends segments. It is tried once: the next save repeats what
// was not acknowledged.
func (l *Ledger) saveProgress(ctx context.Context, jobID, name string, segments []segment) error {
	data, err := codec.Marshal(segments)
	if err != nil {
		return fmt.Errorf("%w: encode progress: %v", store.ErrInvalid, err)
	}
	tx := store.Tx{}
	for i, piece := range splitBytes(data, l.rowLimit()) {
		key := store.Key{Table: tableProgress, Part: jobID, Name: fmt.Sprintf("%s/%03d", name, i)}
		tx.Put = append(tx.Put, store.Row{Key: key, Value: piece})
	}
	_, err = l.Store.Commit(ctx, tx)
	return err
}

// progress reads the longest text that fits of each item of a job, by index.
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

// joinRows joins the rows of each transaction; they are named alike but for a number.
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

// joinSegments joins segments within each lineage and keeps the best text of
// each item: a whole one, or else the longest. Failures of the reward call are
// counted by each holder on top of those it was told of, so the largest count
// is one that was reached.
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

// extend returns the text with a segment; false if there is a gap before it or
// it says nothing new.
func (s savedText) extend(next segment) (savedText, bool) {
	end := next.From + len(next.Events)
	longer := end > len(s.events)
	ends := next.Complete && !s.complete && end == len(s.events)
	if next.From > len(s.events) || (!longer && !ends) {
		return s, false
	}
	s.events = append(slices.Clip(s.events[:next.From]), next.Events...)
	s.versions, s.complete = next.Versions, next.Complete
	return s, true
}

// betterThan reports whether an item should go on from the text instead of another.
func (s savedText) betterThan(than savedText) bool {
	if s.complete != than.complete {
		return s.complete
	}
	return len(s.events) > len(than.events)
}

// saveTexts keeps the text of running items in the store until ctx ends.
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

// saveInterval grows with the number of agents, so that their saves together
// stay within their share of the store's writes.
func (w *Worker) saveInterval() time.Duration {
	agents := len(w.View.Snapshot().OfService(w.Service))
	if w.StoreWriteRate == 0 {
		return saveInterval
	}
	fair := time.Duration(float64(agents) / (saveWriteShare * float64(w.StoreWriteRate)) * float64(time.Second))
	return max(saveInterval, fair)
}

// unsavedSegments cuts the new text of running items, and of whole ones that wait for
// their score, into segments. It is called with w.mu held.
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

// segment is what the store does not know yet of the task.
func (t *task) segment() segment {
	return segment{
		Index: t.index, Lineage: t.lineage, From: t.saved, Events: slices.Clone(t.text[t.saved:]),
		Versions: slices.Clone(t.versions), Complete: t.complete, RewardFailures: t.rewardFailures,
	}
}

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

// saveLeftovers keeps the text of items, by id, that their job's end cut off.
func (w *Worker) saveLeftovers(j *workJob, texts map[string]savedText) {
	now, ok := w.Now()
	if !ok {
		return
	}
	tx := store.Tx{}
	for id, text := range texts {
		data, err := codec.Marshal(leftover{Events: text.events, Versions: text.versions, Saved: now, Complete: text.complete})
		if err != nil || len(data) > w.Ledger.rowLimit() {
			continue // begins anew if it is asked for again
		}
		tx.Put = append(tx.Put, store.Row{Key: w.leftoverKey(j, id), Value: data})
	}
	if len(tx.Put) == 0 {
		return
	}
	_, err := w.Ledger.Store.Commit(w.ctx, tx)
	w.Log.WithError(err).WithFields(logrus.Fields{observe.FieldJob: j.job.ID, "items": len(tx.Put)}).Info("unfinished text kept")
}

func (w *Worker) leftoverKey(j *workJob, item string) store.Key {
	return store.Key{Table: tableLeftovers, Part: ScopedID(j.job.Organisation, cmp.Or(j.job.Model, j.job.Route)), Name: item}
}

// leftovers reads the text of a job's items that earlier jobs left unfinished.
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
