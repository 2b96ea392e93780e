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

// node is an entry reduced to its limits.
type node struct {
	set     *Set
	average *Averager
	demand  float64 // requests offered a second
	dead    bool
	island  int // nodes of different islands do not reach each other
	offered float64
}

// fleet is a number of entries that exchange their demand.
type fleet struct {
	nodes []*node
	rng   *rand.Rand
	now   time.Time
	// listed is how many entries each believes in.
	listed int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), listed: n}
	for i := range n {
		f.nodes = append(f.nodes, &node{set: NewSeededSet(seed + uint64(i)), average: NewAverager(f.now)})
	}
	return f
}

// exchanges makes one round: each living node begins one exchange.
func (f *fleet) exchanges() {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		a := f.nodes[i]
		if a.dead {
			continue
		}
		demand := a.set.MeasureDemand(testInterval)
		a.average.Tick(f.now, testInterval, f.listed, demand)
		share, fallback := Shares(a.average.Mean(), f.listed)
		a.set.SetShares(share, fallback)
		b := f.nodes[f.rng.IntN(len(f.nodes))]
		if a == b || b.dead || a.island != b.island {
			continue
		}
		offer := a.average.Offer()
		reply := b.average.HandleOffer(f.now, offer, f.listed, b.set.Demand())
		a.average.ApplyReply(f.now, offer, reply, f.listed, demand)
	}
}

// run offers the nodes' demand for some rounds and returns how many requests were admitted.
func (f *fleet) run(rounds int, row *table.Row) (admitted int) {
	const steps = 10 // of a round
	for range rounds {
		for range steps {
			f.now = f.now.Add(testInterval / steps)
			for _, n := range f.nodes {
				admitted += n.offer(row, testInterval/steps, f.now)
			}
		}
		f.exchanges()
	}
	return admitted
}

// offer makes the requests of an interval, each of which ends at once.
func (n *node) offer(row *table.Row, interval time.Duration, now time.Time) (admitted int) {
	if n.dead {
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

// shareSum is the sum of the living nodes' shares of the row.
func (f *fleet) shareSum() (sum float64) {
	for _, n := range f.nodes {
		if !n.dead {
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
