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

// Parameters of the exchange.
const (
	// MaxRowsPerMessage bounds the rows in one message; with more rows, successive
	// messages hold different ones.
	MaxRowsPerMessage = 16
	// minDemand is the demand in requests a second below which a row is not exchanged.
	minDemand = 1e-3
	// convergence is the factor by which a round of pairwise averaging reduces the
	// variance, 1/(2*sqrt(e)), when every entry initiates one exchange.
	convergence = 0.303
	// extraRounds are added to the number of rounds that follows from convergence.
	extraRounds = 3
	// targetError is the relative error allowed in the mean when one entry has all demand.
	targetError = 0.1
	// staleEpochs is the number of epochs without a new result after which the last
	// result is dropped.
	staleEpochs = 4
)

// Averager estimates the mean demand of each row over all entries by epidemic
// averaging (Jelasity, Montresor and Babaoglu 2005): two entries that exchange
// their values both continue with the mean of the two. Each epoch restarts from
// the entries' own demand, so that errors from lost messages and from entries that
// joined or left do not accumulate. It is safe for concurrent use.
type Averager struct {
	mu         sync.Mutex
	epoch      uint64
	epochStart time.Time
	ownDemand  map[string]float64 // own demand a second at the start of the epoch
	values     map[string]float64
	exchanges  int // exchanges in this epoch, whichever side initiated them
	nextRow    int // first row of the next message
	result     Mean
	resultAge  int // epochs since result was set
}

// Mean is the result of an epoch.
type Mean struct {
	// Own is this entry's demand a second by row at the start of the epoch, and
	// Mean the mean over all entries at that time. Both are nil while nothing is known.
	Own  map[string]float64
	Mean map[string]float64
}

// NewAverager returns an averager in its first epoch, which starts at now.
func NewAverager(now time.Time) *Averager {
	return &Averager{epochStart: now, ownDemand: map[string]float64{}, values: map[string]float64{}}
}

// Rounds returns the number of rounds in an epoch that make the mean accurate to
// targetError, even when all demand is at one entry.
func Rounds(entries, rows int) int {
	if entries < 2 {
		return 1
	}
	shrink := targetError * targetError / float64(entries)
	messages := max(1, (rows+MaxRowsPerMessage-1)/MaxRowsPerMessage)
	return messages * (extraRounds + int(math.Ceil(math.Log(shrink)/math.Log(convergence))))
}

// Tick completes the epoch when its rounds are over, and starts the next. demand is
// this entry's own current demand per second, by row; interval is the length of a round.
func (a *Averager) Tick(now time.Time, interval time.Duration, entries int, demand map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rounds := Rounds(entries, len(a.values))
	if now.Sub(a.epochStart) < time.Duration(rounds)*interval {
		return
	}
	a.finishEpoch(entries)
	a.beginEpoch(now, a.epoch+1, demand)
}

// finishEpoch stores the epoch's values as the result if it had enough exchanges. An
// entry makes about two in each round, one of them initiated by another entry.
func (a *Averager) finishEpoch(entries int) {
	if a.exchanges < Rounds(entries, 0) {
		a.resultAge++
		if a.resultAge >= staleEpochs {
			a.result = Mean{}
		}
		return
	}
	a.result = Mean{Own: a.ownDemand, Mean: a.values}
	a.resultAge = 0
}

func (a *Averager) beginEpoch(now time.Time, epoch uint64, demand map[string]float64) {
	a.epoch, a.epochStart, a.exchanges = epoch, now, 0
	a.ownDemand = maps.Clone(demand)
	maps.DeleteFunc(a.ownDemand, func(_ string, d float64) bool { return d < minDemand })
	a.values = maps.Clone(a.ownDemand)
}

// Mean returns the result of the last complete epoch. Callers must not change it.
func (a *Averager) Mean() Mean {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.result
}

// Offer returns the message to send to another entry to start an exchange. Rows for which
// neither side has demand are left out.
func (a *Averager) Offer() wire.Gossip {
	a.mu.Lock()
	defer a.mu.Unlock()
	rows := slices.Sorted(maps.Keys(a.values))
	g := wire.Gossip{Epoch: a.epoch}
	for i := range min(len(rows), MaxRowsPerMessage) {
		row := rows[(a.nextRow+i)%len(rows)]
		g.Demand = append(g.Demand, wire.RowDemand{Row: row, PerSecond: a.values[row]})
	}
	a.nextRow += MaxRowsPerMessage
	return g
}

// HandleOffer applies an offer and returns the reply: this entry's values from before, for
// the offered rows and for others that fit. For an offer of a newer epoch this entry first
// joins that epoch, starting from demand. An offer of an older epoch is not averaged.
func (a *Averager) HandleOffer(now time.Time, offer wire.Gossip, entries int, demand map[string]float64) wire.Gossip {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joinEpoch(now, offer.Epoch, entries, demand)
	reply := wire.Gossip{Epoch: a.epoch}
	if offer.Epoch != a.epoch {
		return reply
	}
	offered := make(map[string]float64, len(offer.Demand))
	for _, d := range truncateRows(offer.Demand) {
		offered[d.Row] = d.PerSecond
	}
	for _, row := range a.rowsToAnswer(offered) {
		before := a.values[row]
		reply.Demand = append(reply.Demand, wire.RowDemand{Row: row, PerSecond: before})
		a.adjust(row, (offered[row]-before)/2)
	}
	a.exchanges++
	return reply
}

// rowsToAnswer returns the offered rows and, if the offer contained all rows of its
// sender, the rows that only this entry knows, largest values first.
func (a *Averager) rowsToAnswer(offered map[string]float64) []string {
	rows := slices.Sorted(maps.Keys(offered))
	if len(offered) >= MaxRowsPerMessage {
		return rows
	}
	var unoffered []string
	for row := range a.values {
		if _, ok := offered[row]; !ok {
			unoffered = append(unoffered, row)
		}
	}
	slices.SortFunc(unoffered, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.values[y], a.values[x]), cmp.Compare(x, y))
	})
	return append(rows, unoffered[:min(len(unoffered), MaxRowsPerMessage-len(rows))]...)
}

// ApplyReply completes an exchange that this entry initiated; offer is the message it sent.
func (a *Averager) ApplyReply(now time.Time, offer, reply wire.Gossip, entries int, demand map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.joinEpoch(now, reply.Epoch, entries, demand)
	if reply.Epoch != a.epoch || offer.Epoch != a.epoch {
		return
	}
	sent := make(map[string]float64, len(offer.Demand))
	for _, d := range offer.Demand {
		sent[d.Row] = d.PerSecond
	}
	for _, d := range truncateRows(reply.Demand) {
		a.adjust(d.Row, (d.PerSecond-sent[d.Row])/2)
	}
	a.exchanges++
}

// joinEpoch moves to the epoch of another entry if it is newer than the current one.
func (a *Averager) joinEpoch(now time.Time, epoch uint64, entries int, demand map[string]float64) {
	if epoch <= a.epoch {
		return
	}
	a.finishEpoch(entries)
	a.beginEpoch(now, epoch, demand)
}

// adjust adds by to the value of a row. One side gains what the other loses, so that
// the sum over all entries is preserved even when exchanges overlap.
func (a *Averager) adjust(row string, by float64) {
	if math.IsNaN(by) || math.IsInf(by, 0) {
		return
	}
	a.values[row] += by
}

// truncateRows returns the rows of a message that are used, at most MaxRowsPerMessage.
func truncateRows(rows []wire.RowDemand) []wire.RowDemand {
	return rows[:min(len(rows), MaxRowsPerMessage)]
}
