package admission

import (
	"container/heap"

	"mulberryscale.example/wire"
)

// minShare keeps a row with a tiny share from an endless tag.
const minShare = 1e-6

// rowKey names a flow; a row keeps one for each class.
type rowKey struct {
	row   string
	class wire.Class
}

func (it *Item) key() rowKey { return rowKey{it.Row, it.Class} }

// flow is one row's waiting requests and its place in the virtual time.
type flow struct {
	name    string
	share   float64
	start   float64 // start tag of the row's next request
	waiting itemHeap
	tokens  int // expected tokens that wait
	running int
}

func (f *flow) backlogged() bool { return f.waiting.Len() > 0 }

// catchUp brings an idle row up to the virtual time: idleness earns no credit.
func (f *flow) catchUp(virtual float64) { f.start = max(f.start, virtual) }

// charge moves the start tag by served tokens; negative ones are given back.
func (f *flow) charge(tokens int) { f.start += float64(tokens) / f.share }

// class is the rows of one class and their virtual time.
type class struct {
	flows   []*flow
	virtual float64
	waiting int
	running int
	tokens  int // expected tokens that wait
}

// nextFlow is the backlogged row with the nextFlow start tag whose next
// request's model is ready; the earlier row wins a tie.
func (c *class) nextFlow(ready func(string) bool) *flow {
	var best *flow
	for _, f := range c.flows {
		if !f.backlogged() || !ready(f.waiting[0].Model) {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	return best
}

func (q *Queue) class(c wire.Class) *class {
	if c == wire.ClassInteractive {
		return &q.classes[0]
	}
	return &q.classes[1]
}

// flow finds or makes the item's row and takes over its newest share.
func (q *Queue) flow(it *Item) *flow {
	f, ok := q.rows[it.key()]
	if !ok {
		f = &flow{name: it.Row}
		q.rows[it.key()] = f
		c := q.class(it.Class)
		c.flows = append(c.flows, f)
	}
	f.share = it.Share
	if f.share <= 0 {
		f.share = 1
	}
	f.share = max(f.share, minShare)
	return f
}

// resetIfIdle forgets a class's rows when none of them waits or runs: the busy period
// is over, and rows that left the table do not stay for ever.
func (q *Queue) resetIfIdle(class wire.Class) {
	c := q.class(class)
	if c.waiting > 0 || c.running > 0 {
		return
	}
	for _, f := range c.flows {
		delete(q.rows, rowKey{f.name, class})
	}
	c.flows = nil
	c.virtual = 0
}

// itemHeap is a heap: longest expected work first for training, oldest first
// for interactive requests.
type itemHeap []*Item

var _ heap.Interface = (*itemHeap)(nil)

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Class == wire.ClassTraining && a.Tokens != b.Tokens {
		return a.Tokens > b.Tokens
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	it.index = -1
	return it
}
