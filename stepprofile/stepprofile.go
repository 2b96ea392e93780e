// Package stepprofile says where the time of steps went, from the logs of the
// processes that took part: for each batch job the item that its end waited for,
// and the parts of that item's time.
package stepprofile

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/logstory"
	"mulberryscale.example/observe"
)

// Part is a part of a step's time.
type Part string

// Parts, in their order on the critical path.
const (
	// PartNotify is from a job's acceptance until the agent that first sent the item
	// has heard of the job.
	PartNotify Part = "news"
	// PartDispatch is from then until the item was first sent to an engine.
	PartDispatch Part = "place"
	// PartBaseline is what its events take at the quickest pace that any item of the
	// model had in these logs: no policy is quicker.
	PartBaseline Part = "floor"
	// PartSlowdown is what runs took beyond that: company on the engine, a slow engine,
	// events that were made twice.
	PartSlowdown Part = "slow"
	// PartRescheduling is the time between its runs: refusals, hand-overs, loads of weights.
	PartRescheduling Part = "moves"
	// PartAppend is from its last event until its result stands in the store.
	PartAppend Part = "append"
	// PartReading is from then until the trainer ends the job.
	PartReading Part = "reading"
)

// Parts are all parts in order.
var Parts = []Part{PartNotify, PartDispatch, PartBaseline, PartSlowdown, PartRescheduling, PartAppend, PartReading}

// Step is a batch job whose end is in the logs.
type Step struct {
	Job, Model string
	Number     int
	Items      int
	Accepted   time.Time
	// Took is from its acceptance to its end.
	Took time.Duration
	// Item is the one that was done last before the end; Runs is how often it was sent.
	Item   string
	Events int
	Runs   int
	Parts  map[Part]time.Duration
}

// paceEvents is how many events an item must have for its pace to count: the
// prompt is read in the first.
const paceEvents = 20

// item is what the logs say of an item.
type item struct {
	id       string
	sent     []logstory.Line
	done     logstory.Line
	finished bool
}

// job is what the logs say of a batch job.
type job struct {
	step     Step
	accepted bool
	ended    time.Time
	seen     map[string]time.Time // by process
	items    map[string]*item
	appends  []logstory.Line
}

// Steps finds the steps in lines that are in order of time.
func Steps(lines []logstory.Line) []Step {
	jobs := map[string]*job{}
	for _, l := range lines {
		id := l.Text(observe.FieldJob)
		if id == "" {
			continue
		}
		if jobs[id] == nil {
			jobs[id] = &job{step: Step{Job: id}, seen: map[string]time.Time{}, items: map[string]*item{}}
		}
		jobs[id].take(l)
	}
	pace := paces(jobs)
	var steps []Step
	for _, j := range jobs {
		if j.accepted && !j.ended.IsZero() && j.profile(pace[j.step.Model]) {
			steps = append(steps, j.step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job)) })
	return steps
}

// take takes a line of the job.
func (j *job) take(l logstory.Line) {
	switch l.Message {
	case "job accepted":
		if j.accepted {
			return // submitted again
		}
		j.accepted = true
		j.step.Accepted, j.step.Model = l.Time, l.Text("model")
		j.step.Number, j.step.Items = int(l.Number("step")), int(l.Number("items"))
	case "job seen":
		if _, ok := j.seen[l.Process]; !ok {
			j.seen[l.Process] = l.Time
		}
	case "job's end":
		if j.ended.IsZero() {
			j.ended = l.Time
		}
	case "results appended":
		j.appends = append(j.appends, l)
	case "item sent":
		i := j.item(l)
		i.sent = append(i.sent, l)
	case "item done":
		if i := j.item(l); !i.finished {
			i.done, i.finished = l, true
		}
	}
}

func (j *job) item(l logstory.Line) *item {
	id := l.Text(observe.FieldItem)
	if j.items[id] == nil {
		j.items[id] = &item{id: id}
	}
	return j.items[id]
}

// paces are the quickest times between two events, by model.
func paces(jobs map[string]*job) map[string]time.Duration {
	best := map[string]time.Duration{}
	for _, j := range jobs {
		for _, i := range j.items {
			if !i.finished || len(i.sent) != 1 {
				continue
			}
			// It may have gone on from text that an earlier job left.
			events := i.done.Number("events") - i.sent[0].Number("events")
			if events < paceEvents {
				continue
			}
			pace := time.Duration(float64(i.done.Time.Sub(i.sent[0].Time)) / events)
			if best[j.step.Model] == 0 || pace < best[j.step.Model] {
				best[j.step.Model] = pace
			}
		}
	}
	return best
}

// profile fills in the step's parts; false says that the logs do not tell them.
func (j *job) profile(pace time.Duration) bool {
	var last *item
	for _, i := range j.items {
		if i.finished && len(i.sent) > 0 && !i.done.Time.After(j.ended) && (last == nil || i.done.Time.After(last.done.Time)) {
			last = i
		}
	}
	if last == nil {
		return false
	}
	s := &j.step
	s.Took = j.ended.Sub(s.Accepted)
	s.Item, s.Events, s.Runs = last.id, int(last.done.Number("events")), len(last.sent)
	first, done := last.sent[0], last.done.Time
	heard, ok := j.seen[first.Process]
	if !ok || heard.After(first.Time) {
		heard = first.Time
	}
	running := last.running()
	floor := min(running, time.Duration(s.Events)*pace)
	appended := j.appendedAfter(last.done)
	s.Parts = map[Part]time.Duration{
		PartNotify: heard.Sub(s.Accepted), PartDispatch: first.Time.Sub(heard), PartBaseline: floor, PartSlowdown: running - floor,
		PartRescheduling: done.Sub(first.Time) - running, PartAppend: appended.Sub(done), PartReading: j.ended.Sub(appended),
	}
	return true
}

// running is the time in which the item ran towards its result: of the runs that
// followed each other, from each start to the next one that went on with more
// events, and the last one.
func (i *item) running() time.Duration {
	sum := time.Duration(0)
	for n, l := range i.sent {
		if l.Time.After(i.done.Time) {
			break
		}
		end, events := i.done.Time, i.done.Number("events")
		if n+1 < len(i.sent) && i.sent[n+1].Time.Before(i.done.Time) {
			end, events = i.sent[n+1].Time, i.sent[n+1].Number("events")
		}
		if events > l.Number("events") {
			sum += end.Sub(l.Time)
		}
	}
	return sum
}

// appendedAfter is when the process that finished an item had its result in the store.
func (j *job) appendedAfter(done logstory.Line) time.Time {
	for _, l := range j.appends {
		if l.Process == done.Process && !l.Time.Before(done.Time) && !l.Time.After(j.ended) {
			return l.Time
		}
	}
	return done.Time
}
