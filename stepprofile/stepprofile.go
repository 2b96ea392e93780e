// Package stepprofile computes the critical path of trainers' steps from the logs of
// the processes that took part: for each batch job the item that finished last, and
// how long each phase of that item took.
package stepprofile

import (
	"cmp"
	"slices"
	"time"

	"mulberryscale.example/logstory"
	"mulberryscale.example/observe"
)

// Part names a phase of a step's critical path.
type Part string

// Phases, in their order on the critical path.
const (
	// PartNotify is from a job's acceptance until the agent that first sent the item
	// has seen the job.
	PartNotify Part = "news"
	// PartDispatch is from that moment until the item was first sent to an engine.
	PartDispatch Part = "place"
	// PartBaseline is the time that the item's events take at the fastest pace of any
	// item of the model in these logs: a lower bound for every scheduling policy.
	PartBaseline Part = "floor"
	// PartSlowdown is the run time beyond PartBaseline: other requests on the engine,
	// a slow engine, events that were generated twice.
	PartSlowdown Part = "slow"
	// PartRescheduling is the time between the item's runs: refusals, moves to another
	// engine, loads of weights.
	PartRescheduling Part = "moves"
	// PartAppend is from the item's last event until its result is in the store.
	PartAppend Part = "append"
	// PartReading is from that moment until the trainer ends the job.
	PartReading Part = "reading"
)

// Parts lists all phases in order.
var Parts = []Part{PartNotify, PartDispatch, PartBaseline, PartSlowdown, PartRescheduling, PartAppend, PartReading}

// Step is the profile of a batch job that the trainer ended.
type Step struct {
	Job, Model string
	Number     int
	Items      int
	Accepted   time.Time
	// Took is the time from the job's acceptance until the trainer ended it.
	Took time.Duration
	// Item is the id of the last item that was done before the trainer ended the job;
	// Events and Runs are its events and how often it was sent.
	Item   string
	Events int
	Runs   int
	Parts  map[Part]time.Duration
}

// minPaceEvents is the least number of events from which an item's pace is computed:
// the first event includes the prefill of the prompt.
const minPaceEvents = 20

// item holds the log lines of one item.
type item struct {
	id       string
	sent     []logstory.Line
	done     logstory.Line
	finished bool
}

// job collects the log lines of one batch job.
type job struct {
	step     Step
	accepted bool
	ended    time.Time
	seen     map[string]time.Time // by process
	items    map[string]*item
	appends  []logstory.Line
}

// Steps returns the profiles of all steps in lines, sorted by acceptance. The lines
// must be sorted by time. Steps whose logs are incomplete are left out.
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
		jobs[id].add(l)
	}
	pace := bestPaces(jobs)
	var steps []Step
	for _, j := range jobs {
		if j.accepted && !j.ended.IsZero() && j.profile(pace[j.step.Model]) {
			steps = append(steps, j.step)
		}
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job)) })
	return steps
}

// add records a line of the job.
func (j *job) add(l logstory.Line) {
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

// bestPaces returns the shortest mean time per event of any item, by model.
func bestPaces(jobs map[string]*job) map[string]time.Duration {
	best := map[string]time.Duration{}
	for _, j := range jobs {
		for _, i := range j.items {
			if !i.finished || len(i.sent) != 1 {
				continue
			}
			// The item may have resumed from events that an earlier job generated.
			events := i.done.Number("events") - i.sent[0].Number("events")
			if events < minPaceEvents {
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

// profile computes the step's parts; it returns false when the logs lack the lines for it.
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
	seenAt, ok := j.seen[first.Process]
	if !ok || seenAt.After(first.Time) {
		seenAt = first.Time
	}
	runTime := last.runTime()
	baseline := min(runTime, time.Duration(s.Events)*pace)
	appended := j.appendedAfter(last.done)
	s.Parts = map[Part]time.Duration{
		PartNotify: seenAt.Sub(s.Accepted), PartDispatch: first.Time.Sub(seenAt), PartBaseline: baseline, PartSlowdown: runTime - baseline,
		PartRescheduling: done.Sub(first.Time) - runTime, PartAppend: appended.Sub(done), PartReading: j.ended.Sub(appended),
	}
	return true
}

// runTime is the time of the runs that contributed to the item's result: each run
// whose successor resumed with more events than it had itself, from its start to
// the successor's start, and the last run until the item was done.
func (i *item) runTime() time.Duration {
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

// appendedAfter returns when the process that finished an item had appended its
// result to the store, or when the item was done if no such line is found.
func (j *job) appendedAfter(done logstory.Line) time.Time {
	for _, l := range j.appends {
		if l.Process == done.Process && !l.Time.Before(done.Time) && !l.Time.After(j.ended) {
			return l.Time
		}
	}
	return done.Time
}
