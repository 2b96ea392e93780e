package admission

import (
	"container/heap"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/wire"
)

// Defaults of Options.
const (
	DefaultMaxItems        = 1024
	DefaultMaxBytes        = 16 << 20
	DefaultTrainingMaxWait = 10 * time.Second
	DefaultActiveWindow    = time.Minute
)

// stepEnqueue is the processing step in refusals of the queue.
const stepEnqueue = "agent.enqueue"

// Options are the bounds of a queue; the zero value of a field means its default.
type Options struct {
	// Peer is the id of the agent, reported in refusals.
	Peer string
	// MaxItems bounds the waiting requests of all rows, MaxBytes their total size.
	MaxItems int
	MaxBytes int
	// Reserve is how many slots training leaves free, besides those that
	// interactive requests use, while interactive rows are active. At least
	// one slot is always open to training.
	Reserve int
	// TrainingMaxWait is how long interactive requests may keep waiting training
	// requests from starting; after it the next free slot goes to training.
	TrainingMaxWait time.Duration
	// ActiveWindow is how long interactive rows count as active after the last
	// interactive request.
	ActiveWindow time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxItems <= 0 {
		o.MaxItems = DefaultMaxItems
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.TrainingMaxWait <= 0 {
		o.TrainingMaxWait = DefaultTrainingMaxWait
	}
	if o.ActiveWindow <= 0 {
		o.ActiveWindow = DefaultActiveWindow
	}
	return o
}

// Item is one request in the queue or on the endpoint.
type Item struct {
	Row   string
	Class wire.Class
	Model string
	// Share is the row's weight relative to the other rows of its class; 0 counts as 1.
	Share float64
	// MaxQueue bounds the row's waiting requests; 0 means no bound per row.
	MaxQueue int
	// Tokens is the expected remaining work; less than 1 counts as 1.
	Tokens int
	// Bytes is the memory that the request uses while it waits.
	Bytes int
	// Deadline is when the answer is due; zero means no deadline.
	Deadline time.Time
	// Value is opaque to the queue.
	Value any

	seq     uint64
	index   int // index in the row's heap, -1 when not queued
	started time.Time
}

// Queued reports whether the item waits in a queue.
func (it *Item) Queued() bool { return it.seq > 0 && it.index >= 0 }

// Queue holds an agent's waiting requests and counts its running ones. It is
// not safe for concurrent use.
type Queue struct {
	opts    Options
	slots   int
	classes [2]class
	rows    map[rowKey]*flow
	seq     uint64

	items, tokens, bytes int
	running              int
	trainingRunning      int

	lastInteractive      time.Time // newest interactive arrival
	trainingWaitingSince time.Time // last start of training, or when it began to wait
	speed                speedMeter
}

// New returns an empty queue without slots; see SetSlots.
func New(opts Options) *Queue {
	return &Queue{opts: opts.withDefaults(), rows: make(map[rowKey]*flow)}
}

// SetSlots sets how many requests the endpoint runs at once; negative counts as 0.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 0) }

// Slots returns the value of the last SetSlots.
func (q *Queue) Slots() int { return q.slots }

// Push queues an item. If it returns a refusal, with not_run true, the item is not queued.
func (q *Queue) Push(now time.Time, it *Item) *api.Refusal {
	if refusal := q.check(now, it); refusal != nil {
		return refusal
	}
	it.Tokens = max(it.Tokens, 1)
	q.seq++
	it.seq = q.seq
	f := q.flow(it)
	if !f.backlogged() {
		f.catchUp(q.class(it.Class).virtual)
	}
	heap.Push(&f.waiting, it)
	q.count(it, 1)
	if it.Class == wire.ClassInteractive {
		q.lastInteractive = now
	} else if q.class(wire.ClassTraining).waiting == 1 {
		q.trainingWaitingSince = now
	}
	return nil
}

func (q *Queue) check(now time.Time, it *Item) *api.Refusal {
	if f, ok := q.rows[it.key()]; ok && it.MaxQueue > 0 && f.waiting.Len() >= it.MaxQueue {
		return q.refuse(api.CodeQueueFull, "the row's queue is full", q.retryAfter(f.tokens))
	}
	if q.items >= q.opts.MaxItems {
		return q.refuse(api.CodeQueueFull, "the agent's queue is full", q.retryAfter(q.tokens))
	}
	if q.bytes+it.Bytes > q.opts.MaxBytes {
		return q.refuse(api.CodeQueueFull, "the agent's queue is full of bytes", q.retryAfter(q.tokens))
	}
	if it.Deadline.IsZero() {
		return nil
	}
	wait, _ := q.EstimateWait(it.Class)
	if !now.Add(wait).Before(it.Deadline) {
		return q.refuse(api.CodeDeadline, "the deadline would pass in the queue", wait)
	}
	return nil
}

func (q *Queue) refuse(code api.Code, message string, retryAfter time.Duration) *api.Refusal {
	return &api.Refusal{
		Code:       code,
		Message:    message,
		NotRun:     api.NotRunTrue,
		RetryAfter: clampRetry(retryAfter),
		Step:       stepEnqueue,
		Peer:       q.opts.Peer,
	}
}

// Remove removes a waiting item; it returns false when the item was not waiting.
func (q *Queue) Remove(it *Item) bool {
	f, ok := q.rows[it.key()]
	if !ok || !it.Queued() {
		return false
	}
	heap.Remove(&f.waiting, it.index)
	q.count(it, -1)
	q.resetIfIdle(it.Class)
	return true
}

// RemoveMatching removes and returns the waiting items that match, in no particular order.
func (q *Queue) RemoveMatching(match func(*Item) bool) []*Item {
	var matching []*Item
	for _, f := range q.rows {
		for _, it := range f.waiting {
			if match(it) {
				matching = append(matching, it)
			}
		}
	}
	for _, it := range matching {
		q.Remove(it)
	}
	return matching
}

// Pop removes and starts the next item; next is nil when none may start now. ready
// reports whether a model accepts new requests. expired holds items that were
// removed because their deadline has passed; they must not be run.
func (q *Queue) Pop(now time.Time, ready func(model string) bool) (next *Item, expired []*Item) {
	for q.running < q.slots {
		f := q.pick(now, ready)
		if f == nil {
			return nil, expired
		}
		it := heap.Pop(&f.waiting).(*Item)
		q.count(it, -1)
		if !it.Deadline.IsZero() && !now.Before(it.Deadline) {
			expired = append(expired, it)
			q.resetIfIdle(it.Class)
			continue
		}
		q.start(now, f, it)
		return it, expired
	}
	return nil, expired
}

func (q *Queue) start(now time.Time, f *flow, it *Item) {
	c := q.class(it.Class)
	c.virtual = max(c.virtual, f.start)
	c.running++
	f.charge(it.Tokens)
	f.running++
	q.running++
	it.started = now
	if it.Class == wire.ClassTraining {
		q.trainingRunning++
		q.trainingWaitingSince = now
	}
}

// Done frees the slot of a started item; tokens is its actual work, which replaces the
// expected one in the row's account and, if positive, updates the speed estimate.
func (q *Queue) Done(now time.Time, it *Item, tokens int) {
	f := q.rows[it.key()]
	f.charge(tokens - it.Tokens)
	f.running--
	q.class(it.Class).running--
	q.running--
	if it.Class == wire.ClassTraining {
		q.trainingRunning--
	}
	if tokens > 0 {
		q.speed.observe(tokens, now.Sub(it.started))
	}
	q.resetIfIdle(it.Class)
}

// pick chooses the row to serve next, first by class, then by smallest start tag.
func (q *Queue) pick(now time.Time, ready func(string) bool) *flow {
	interactive := q.class(wire.ClassInteractive).nextFlow(ready)
	training := q.class(wire.ClassTraining).nextFlow(ready)
	if !q.trainingMayStart(now) {
		training = nil
	}
	switch {
	case training == nil:
		return interactive
	case interactive == nil:
		return training
	case now.Sub(q.trainingWaitingSince) >= q.opts.TrainingMaxWait:
		return training
	}
	return interactive
}

// trainingMayStart reports whether training may take a slot. While interactive rows are
// active, Reserve slots stay free for the next interactive requests.
func (q *Queue) trainingMayStart(now time.Time) bool {
	if !q.interactiveActive(now) {
		return q.trainingRunning < q.slots
	}
	interactive := q.running - q.trainingRunning
	return q.trainingRunning < max(q.slots-interactive-q.opts.Reserve, 1)
}

func (q *Queue) interactiveActive(now time.Time) bool {
	return !q.lastInteractive.IsZero() && now.Sub(q.lastInteractive) < q.opts.ActiveWindow
}

func (q *Queue) count(it *Item, sign int) {
	f := q.rows[it.key()]
	f.tokens += sign * it.Tokens
	c := q.class(it.Class)
	c.waiting += sign
	c.tokens += sign * it.Tokens
	q.items += sign
	q.tokens += sign * it.Tokens
	q.bytes += sign * it.Bytes
}
