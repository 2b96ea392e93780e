package flowcontrol

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// workMemory is the time constant with which the work that an organisation has received is
	// forgotten. It spans several services of an organisation that gets a hundredth of an entry's
	// 20 requests a second.
	workMemory = 10 * time.Second
	// guaranteedShare is the share of the mean received work up to which an organisation goes
	// before those of higher rank, so that no rank is starved.
	guaranteedShare = 0.35
	// refusalMemory is the time after a refusal within which an organisation counts as one that
	// wants more than it gets.
	refusalMemory = time.Second
	// shareTolerance and workTolerance are how much more than the mean of those that want more an
	// organisation may have received, as a factor and in requests. Without a tolerance an
	// organisation that is ahead by chance would be refused while others have nothing to send.
	shareTolerance = 1.1
	workTolerance  = 1
	// maxScale is the scale of the work accounts at which they are renormalised.
	maxScale = 1e12
	// forgottenWork is the received work, in seconds, below which the account of an organisation
	// that has nothing in the queue is deleted.
	forgottenWork = 1e-3
)

// Item is a request in a Queue.
type Item struct {
	Ticket
	// Value is opaque to the queue.
	Value any

	seq     uint64
	account *account
	queued  bool
	late    bool
}

// before reports whether a goes before b within their organisation: a request that has returned
// after a refusal has less time left than a newcomer.
func (it *Item) before(other *Item) int {
	return cmp.Or(it.Deadline.Compare(other.Deadline), it.Arrived.Compare(other.Arrived), cmp.Compare(it.seq, other.seq))
}

// account holds the waiting requests of an organisation of one rank, and the work that it has
// received.
type account struct {
	accountKey
	// received is the work in seconds, in units of Queue.scale.
	received float64
	// timely requests can still be answered within their objective, late ones cannot. Both are
	// ordered by Item.before.
	timely, late []*Item
	// refusedAt is the time of the last refusal for lack of capacity.
	refusedAt time.Time
}

type accountKey struct {
	organisation string
	rank         int
}

// Queue orders the waiting requests of a process. Requests that can still meet their objective go
// first. Among these, organisations that have received less than a guaranteed share of the mean
// work come first, then the order is by rank, then by the work that the organisation has received.
// The caller passes in the time. It is not safe for concurrent use.
//
// It differs from the start-time fair queueing of package admission in its memory: an entry serves
// an organisation every few seconds, so that most organisations have nothing waiting most of the
// time. If an idle organisation started at the virtual time of the others, as it does there, one
// that always waits would be served several times as often as one that does not.
type Queue struct {
	accounts map[accountKey]*account
	// backlogged lists the accounts with waiting requests.
	backlogged   []*account
	timely, late int
	bytes        int
	seq          uint64
	// scale is the weight of work that is received now. It grows with time instead of all accounts
	// decaying.
	scale    float64
	scaledAt time.Time
	total    float64 // sum of the received work, in units of scale
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{accounts: map[accountKey]*account{}, scale: 1} }

// Len returns the number of waiting requests, Timely that of those that can meet their objective.
func (q *Queue) Len() int { return q.timely + q.late }

// Timely returns the number of waiting requests that can still meet their objective.
func (q *Queue) Timely() int { return q.timely }

// Late returns the number of the other waiting requests.
func (q *Queue) Late() int { return q.late }

// Bytes returns the memory that the waiting requests hold.
func (q *Queue) Bytes() int { return q.bytes }

// Push adds a request, as late or as one that can meet its objective.
func (q *Queue) Push(it *Item, late bool) {
	q.seq++
	it.seq = q.seq
	it.account = q.accountOf(it)
	q.bytes += it.Bytes
	q.insert(it, late)
}

// insert adds an item to the list that late says. Its account and sequence number are set.
func (q *Queue) insert(it *Item, late bool) {
	a := it.account
	if len(a.timely)+len(a.late) == 0 {
		q.backlogged = append(q.backlogged, a)
	}
	it.queued, it.late = true, late
	list, count := q.listOf(it)
	i, _ := slices.BinarySearchFunc(*list, it, (*Item).before)
	*list = slices.Insert(*list, i, it)
	*count++
}

// Remove removes a waiting request; it does nothing for one that does not wait.
func (q *Queue) Remove(it *Item) {
	if !it.queued {
		return
	}
	q.take(it)
	q.bytes -= it.Bytes
}

// take removes an item from its list.
func (q *Queue) take(it *Item) {
	list, count := q.listOf(it)
	i, _ := slices.BinarySearchFunc(*list, it, (*Item).before)
	*list = slices.Delete(*list, i, i+1)
	*count--
	it.queued = false
	if a := it.account; len(a.timely)+len(a.late) == 0 {
		i := slices.Index(q.backlogged, a)
		q.backlogged = slices.Delete(q.backlogged, i, i+1)
	}
}

// listOf returns the list of an item and the count of all items in such lists.
func (q *Queue) listOf(it *Item) (list *[]*Item, count *int) {
	if it.late {
		return &it.account.late, &q.late
	}
	return &it.account.timely, &q.timely
}

// MarkLate records that a waiting request can no longer meet its objective.
func (q *Queue) MarkLate(it *Item) {
	if it.queued && !it.late {
		q.take(it)
		q.insert(it, true)
	}
}

// Next returns the request that goes first, nil for none. Requests for which skip returns true are
// left out, and those behind them in their organisation's list as well.
func (q *Queue) Next(skip func(*Item) bool) *Item {
	for _, late := range []bool{false, true} {
		var first *account
		for _, a := range q.backlogged {
			list := a.list(late)
			if len(list) == 0 || skip(list[0]) {
				continue
			}
			if first == nil || q.compare(a, first, 0, 0) < 0 {
				first = a
			}
		}
		if first != nil {
			return first.list(late)[0]
		}
	}
	return nil
}

// Last returns the request that goes last among the late or the timely ones, nil for none. work is
// the expected work of one request: an organisation's tenth request goes after the first one of
// another.
func (q *Queue) Last(late bool, work time.Duration) *Item {
	var last *account
	ahead := func(a *account) float64 { return work.Seconds() * float64(len(a.list(late))) }
	for _, a := range q.backlogged {
		if len(a.list(late)) == 0 {
			continue
		}
		if last == nil || q.compare(a, last, ahead(a), ahead(last)) > 0 {
			last = a
		}
	}
	if last == nil {
		return nil
	}
	list := last.list(late)
	return list[len(list)-1]
}

// All returns the waiting requests for which match returns true.
func (q *Queue) All(match func(*Item) bool) []*Item {
	var found []*Item
	for _, a := range q.backlogged {
		for _, list := range [][]*Item{a.timely, a.late} {
			for _, it := range list {
				if match(it) {
					found = append(found, it)
				}
			}
		}
	}
	return found
}

// Charge adds work to what the item's organisation has received; negative work is a refund.
func (q *Queue) Charge(it *Item, work time.Duration, now time.Time) {
	q.rescale(now)
	a := q.accountOf(it)
	it.account = a
	added := max(work.Seconds()*q.scale, -a.received)
	a.received += added
	q.total += added
}

// Refused records that a request was refused for lack of capacity.
func (q *Queue) Refused(it *Item, now time.Time) {
	it.account = q.accountOf(it)
	it.account.refusedAt = now
}

// OverShare reports whether an organisation has received more than it should while others are
// refused: more than others of its rank, or more than the guaranteed share if a higher rank is
// refused. work is the expected work of one request.
func (q *Queue) OverShare(it *Item, work time.Duration, now time.Time) bool {
	q.rescale(now)
	var higher bool
	var wanting int
	var sum float64
	for _, a := range q.accounts {
		if a.rank > it.Rank || now.Sub(a.refusedAt) > refusalMemory {
			continue
		}
		if a.rank < it.Rank {
			higher = true
			continue
		}
		wanting++
		sum += a.received
	}
	received := q.accountOf(it).received
	request := work.Seconds() * q.scale
	if higher && received > q.guaranteed()+request {
		return true
	}
	return wanting > 0 && received > shareTolerance*sum/float64(wanting)+workTolerance*request
}

// guaranteed returns the received work up to which an organisation goes before those of higher
// rank.
func (q *Queue) guaranteed() float64 {
	return guaranteedShare * q.total / float64(max(1, len(q.accounts)))
}

// rescale sets the weight of work that is received now.
func (q *Queue) rescale(now time.Time) {
	if q.scaledAt.IsZero() {
		q.scaledAt = now
	}
	q.scale *= math.Exp(float64(now.Sub(q.scaledAt)) / float64(workMemory))
	q.scaledAt = now
	if q.scale < maxScale {
		return
	}
	q.total = 0
	for key, a := range q.accounts {
		a.received /= q.scale
		q.total += a.received
		if a.received < forgottenWork && len(a.timely)+len(a.late) == 0 {
			q.total -= a.received
			delete(q.accounts, key)
		}
	}
	q.scale = 1
}

func (q *Queue) accountOf(it *Item) *account {
	key := accountKey{it.Organisation, it.Rank}
	a, ok := q.accounts[key]
	if !ok {
		a = &account{accountKey: key}
		q.accounts[key] = a
	}
	return a
}

func (a *account) list(late bool) []*Item {
	if late {
		return a.late
	}
	return a.timely
}

// compare orders two accounts by who is served first, if each had received some more seconds of
// work.
func (q *Queue) compare(a, b *account, moreA, moreB float64) int {
	receivedA, receivedB := a.received+moreA*q.scale, b.received+moreB*q.scale
	guaranteed := q.guaranteed()
	belowA, belowB := receivedA < guaranteed, receivedB < guaranteed
	switch {
	case belowA && !belowB:
		return -1
	case belowB && !belowA:
		return 1
	case belowA && belowB:
		return cmp.Compare(receivedA, receivedB)
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(receivedA, receivedB))
}
