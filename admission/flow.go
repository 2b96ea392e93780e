package admission

import (
	"container/heap"

	"mulberryscale.example/wire"
)

// minShare bounds how far one request can advance the start tag of a row with a tiny share.
const minShare = 1e-6

// rowKey identifies a flow; a row has one for each class.
type rowKey struct {
	row   string
	class wire.Class
}

func (it *Item) key() rowKey { return rowKey{it.Row, it.Class} }

// flow holds one row's waiting requests and its position in virtual time.
type flow struct {
	name    string
	share   float64
	start   float64 // start tag of the row's next request
	waiting itemHeap
	tokens  int // expected tokens that wait
	running int
}

func (f *flow) backlogged() bool { return f.waiting.Len() > 0 }

// catchUp advances the start tag of an idle row to the virtual time, so that a row
// gains no credit while idle.
func (f *flow) catchUp(virtual float64) { f.start = max(f.start, virtual) }

// charge advances the start tag by served tokens; negative tokens are a refund.
func (f *flow) charge(tokens int) { f.start += float64(tokens) / f.share }

// class holds the rows of one class and their virtual time.
type class struct {
	flows   []*flow
	virtual float64
	waiting int
	running int
	tokens  int // expected tokens that wait
}

// nextFlow returns the backlogged row with the smallest start tag among those whose next
// request's model is ready, nil for none; the row that was added first wins a tie.
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

// flow returns the flow of the item's row, creating it if needed, and updates its share.
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

// resetIfIdle deletes a class's rows and its virtual time when no request of the class waits
// or runs: the busy period is over, and rows deleted from the table must not accumulate.
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

// itemHeap is a heap of the waiting requests of a row: longest expected work first for
// training, oldest first for interactive requests.
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
