package limits

import (
	"math/rand/v2"
	"time"

	"mulberryscale.example/table"
)

const (
	testInterval = 500 * time.Millisecond
	testRow      = "guide"
)

// node simulates an entry: it has only the limits and the averaging of demand.
type node struct {
	set       *Set
	average   *Averager
	demand    float64 // requests a second
	crashed   bool
	partition int // nodes of different partitions cannot reach each other
	offered   float64
}

// fleet is a set of entries that exchange their demand.
type fleet struct {
	nodes []*node
	rng   *rand.Rand
	now   time.Time
	// listed is the number of entries that each node assumes.
	listed int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), listed: n}
	for i := range n {
		f.nodes = append(f.nodes, &node{set: NewSeededSet(seed + uint64(i)), average: NewAverager(f.now)})
	}
	return f
}

// exchangeRound makes one round: each node that has not crashed initiates one exchange.
func (f *fleet) exchangeRound() {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		a := f.nodes[i]
		if a.crashed {
			continue
		}
		demand := a.set.MeasureDemand(testInterval)
		a.average.Tick(f.now, testInterval, f.listed, demand)
		share, fallback := Shares(a.average.Mean(), f.listed)
		a.set.SetShares(share, fallback)
		b := f.nodes[f.rng.IntN(len(f.nodes))]
		if a == b || b.crashed || a.partition != b.partition {
			continue
		}
		offer := a.average.Offer()
		reply := b.average.HandleOffer(f.now, offer, f.listed, b.set.Demand())
		a.average.ApplyReply(f.now, offer, reply, f.listed, demand)
	}
}

// run makes the requests of all nodes for some rounds and returns how many were admitted.
func (f *fleet) run(rounds int, row *table.Row) (admitted int) {
	const steps = 10 // per round
	for range rounds {
		for range steps {
			f.now = f.now.Add(testInterval / steps)
			for _, n := range f.nodes {
				admitted += n.offer(row, testInterval/steps, f.now)
			}
		}
		f.exchangeRound()
	}
	return admitted
}

// offer makes the requests of an interval, each of which completes at once.
func (n *node) offer(row *table.Row, interval time.Duration, now time.Time) (admitted int) {
	if n.crashed {
		return 0
	}
	n.offered += n.demand * interval.Seconds()
	for ; n.offered >= 1; n.offered-- {
		if ticket, exceeded := n.set.Admit(row, now); exceeded == nil {
			ticket.Done(0, now)
			admitted++
		}
	}
	return admitted
}

// shareSum returns the sum of the shares of the row over the nodes that have not crashed.
func (f *fleet) shareSum() (sum float64) {
	for _, n := range f.nodes {
		if !n.crashed {
			sum += n.share()
		}
	}
	return sum
}

func (n *node) share() float64 {
	n.set.mu.Lock()
	defer n.set.mu.Unlock()
	return n.set.shareOf(testRow)
}
