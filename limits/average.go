package limits

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"mulberryscale.example/wire"
)

// Bounds of the exchange.
const (
	// MaxRowsPerMessage is how many rows one message tells of; more rows take turns.
	MaxRowsPerMessage = 16
	// minDemand is the demand a second below which a row is not told of.
	minDemand = 1e-3
	// convergence is the factor by which a round of pairwise averaging shrinks
	// the variance, 1/(2*sqrt(e)), when every entry begins one exchange.
	convergence = 0.303
	// spareRounds are added to the rounds that theory asks for.
	spareRounds = 3
	// accuracy is the wanted error of the mean when one entry has all demand.
	accuracy = 0.1
	// staleEpochs is after how many epochs without a new result the last is dropped.
	staleEpochs = 4
)

// Averager learns the mean demand of each row over all entries by epidemic
// averaging (Jelasity, Montresor and Babaoglu 2005): two entries that exchange
// their values both go on with the mean of the two. Each epoch begins anew with
// the entries' own demand, so that lost messages and entries that came or went
// do not add up. It is safe for concurrent use.
type Averager struct {
	mu      sync.Mutex
	epoch   uint64
	began   time.Time
	own     map[string]float64 // demand a second at the epoch's begin
	values  map[string]float64
	done    int // exchanges in this epoch, of both sides
	turn    int // first row of the next message
	settled Mean
	age     int // epochs since settled was made
}

// Mean is the outcome of an epoch.
type Mean struct {
	// Own is this entry's demand a second by row when the epoch began, and
	// Mean the mean of all entries' then. Nil when nothing is known.
	Own  map[string]float64
	Mean map[string]float64
}

// NewAverager returns an averager in its first epoch.
func NewAverager(now time.Time) *Averager {
	return &Averager{began: now, own: map[string]float64{}, values: map[string]float64{}}
}

// Rounds is how many rounds an epoch takes until the mean is accurate, when
// the demand of rows stands at one of a number of entries.
func Rounds(entries, rows int) int {
	if entries < 2 {
		return 1
	}
	shrink := accuracy * accuracy / float64(entries)
	turns := max(1, (rows+MaxRowsPerMessage-1)/MaxRowsPerMessage)
	return turns * (spareRounds + int(math.Ceil(math.Log(shrink)/math.Log(convergence))))
}

// Tick ends the epoch when its rounds are over. Demand is this entry's own
// demand now, a second and by row; interval is the time of a round.
func (a *Averager) Tick(now time.Time, interval time.Duration, entries int, demand map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rounds := Rounds(entries, len(a.values))
	if now.Sub(a.began) < time.Duration(rounds)*interval {
		return
	}
	a.settle(entries)
	a.begin(now, a.epoch+1, demand)
}

// settle takes the epoch's values over when it had enough exchanges. An entry
// makes about two in each round, one of them begun by another entry.
func (a *Averager) settle(entries int) {
	if a.done < Rounds(entries, 0) {
		a.age++
		if a.age >= staleEpochs {
			a.settled = Mean{}
		}
		return
	}
	a.settled = Mean{Own: a.own, Mean: a.values}
	a.age = 0
}

func (a *Averager) begin(now time.Time, epoch uint64, demand map[string]float64) {
	a.epoch, a.began, a.done = epoch, now, 0
	a.own = maps.Clone(demand)
	maps.DeleteFunc(a.own, func(_ string, d float64) bool { return d < minDemand })
	a.values = maps.Clone(a.own)
}

// Mean returns the last epoch's outcome. Callers must not change it.
func (a *Averager) Mean() Mean {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settled
}

// Offer is what to send to another entry. Rows of which neither side has demand are left out.
func (a *Averager) Offer() wire.Gossip {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := slices.Sorted(maps.Keys(a.values))
	g := wire.Gossip{Epoch: a.epoch}
	for i := range min(len(rows), MaxRowsPerMessage) {
		row := rows[(a.turn+i)%len(rows)]
		g.Demand = append(g.Demand, wire.RowDemand{Row: row, PerSecond: a.values[row]})
	}
	a.turn += MaxRowsPerMessage
	return g
}

// HandleOffer takes an offer in and returns what to reply: the values before, of the
// rows offered and of more as far as they fit. An offer of another epoch is not
// averaged; a newer one makes this entry begin that epoch with demand.
func (a *Averager) HandleOffer(now time.Time, offer wire.Gossip, entries int, demand map[string]float64) wire.Gossip {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.join(now, offer.Epoch, entries, demand)
	reply := wire.Gossip{Epoch: a.epoch}
	if offer.Epoch != a.epoch {
		return reply
	}
	offered := make(map[string]float64, len(offer.Demand))
	for _, d := range boundedRows(offer.Demand) {
		offered[d.Row] = d.PerSecond
	}
	for _, row := range a.rowsToAnswer(offered) {
		before := a.values[row]
		reply.Demand = append(reply.Demand, wire.RowDemand{Row: row, PerSecond: before})
		a.move(row, (offered[row]-before)/2)
	}
	a.done++
	return reply
}

// rowsToAnswer are the rows offered and, when the offer had all its sender's
// rows, the rows that only this entry knows, those of the largest values first.
func (a *Averager) rowsToAnswer(offered map[string]float64) []string {
	rows := slices.Sorted(maps.Keys(offered))
	if len(offered) >= MaxRowsPerMessage {
		return rows
	}
	var more []string
	for row := range a.values {
		if _, ok := offered[row]; !ok {
			more = append(more, row)
		}
	}
	slices.SortFunc(more, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.values[y], a.values[x]), cmp.Compare(x, y))
	})
	return append(rows, more[:min(len(more), MaxRowsPerMessage-len(rows))]...)
}

// ApplyReply ends an exchange that this entry began: offer is what it sent.
func (a *Averager) ApplyReply(now time.Time, offer, reply wire.Gossip, entries int, demand map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.join(now, reply.Epoch, entries, demand)
	if reply.Epoch != a.epoch || offer.Epoch != a.epoch {
		return
	}
	sent := make(map[string]float64, len(offer.Demand))
	for _, d := range offer.Demand {
		sent[d.Row] = d.PerSecond
	}
	for _, d := range boundedRows(reply.Demand) {
		a.move(d.Row, (d.PerSecond-sent[d.Row])/2)
	}
	a.done++
}

// join begins a newer epoch that another entry is in.
func (a *Averager) join(now time.Time, epoch uint64, entries int, demand map[string]float64) {
	if epoch <= a.epoch {
		return
	}
	a.settle(entries)
	a.begin(now, epoch, demand)
}

// move changes a value; what one side gains the other loses, so that the sum
// over all entries stays even when exchanges overlap.
func (a *Averager) move(row string, by float64) {
	if math.IsNaN(by) || math.IsInf(by, 0) {
		return
	}
	a.values[row] += by
}

// boundedRows is what is taken in of a message.
func boundedRows(rows []wire.RowDemand) []wire.RowDemand {
	return rows[:min(len(rows), MaxRowsPerMessage)]
}
