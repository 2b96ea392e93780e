package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
	"mulberryscale.example/table"
)

// settleRounds returns enough rounds for two epochs to complete, with some to spare.
func settleRounds(entries int) int { return 3*Rounds(entries, 1) + 6 }

// TestRateOverAllEntries: with all demand at one entry, and after it shifts to another,
// the entries together admit most of the limit and no more than it.
func TestRateOverAllEntries(t *testing.T) {
	const limit = 200.0
	row := &table.Row{Name: testRow, MaxRPS: limit}
	for _, n := range []int{1, 4, 16, 64} {
		t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) {
			f := newFleet(n, 7)
			f.nodes[0].demand = 3 * limit
			f.run(settleRounds(n), row)
			const rounds = 40
			seconds := (rounds * testInterval).Seconds()
			steady := float64(f.run(rounds, row)) / seconds / limit
			f.nodes[0].demand, f.nodes[n-1].demand = 0, 3*limit
			rounds2 := 2 * Rounds(n, 1)
			shift := float64(f.run(rounds2, row)) / (float64(rounds2) * testInterval.Seconds()) / limit
			f.run(settleRounds(n), row)
			after := float64(f.run(rounds, row)) / seconds / limit
			t.Logf("admitted/limit: steady %.3f, while demand shifts %.3f, after %.3f", steady, shift, after)
			if steady < 0.85 || steady > 1.1 || after < 0.85 || after > 1.1 {
				t.Errorf("admitted %.3f and %.3f of the limit, want 0.85 to 1.1", steady, after)
			}
			if shift > 1.1 {
				t.Errorf("admitted %.3f of the limit while demand shifted, want at most 1.1", shift)
			}
		})
	}
}

// TestPartitionAndCrash: neither a network partition between entries nor the crash of one
// raises what is admitted above the limit; after each, the whole limit is used again.
func TestPartitionAndCrash(t *testing.T) {
	const limit = 400.0
	row := &table.Row{Name: testRow, MaxRPS: limit}
	f := newFleet(16, 11)
	for _, n := range f.nodes {
		n.demand = 2 * limit / 16
	}
	f.run(settleRounds(16), row)
	const rounds = 40
	ratio := func() float64 { return float64(f.run(rounds, row)) / (rounds * testInterval).Seconds() / limit }
	for i, n := range f.nodes {
		n.partition = i % 4 / 3
	}
	partitioned := ratio()
	partitionedLater := ratio()
	for _, n := range f.nodes {
		n.partition = 0
	}
	f.run(settleRounds(16), row)
	healed := ratio()
	f.nodes[3].crashed = true
	crashed := ratio()
	f.listed--
	f.run(settleRounds(16), row)
	delisted := ratio()
	t.Logf("admitted/limit: partitioned %.3f then %.3f, healed %.3f, one crashed %.3f, and delisted %.3f", partitioned, partitionedLater, healed, crashed, delisted)
	for name, r := range map[string]float64{"partitioned": partitioned, "partitioned, later": partitionedLater, "healed": healed, "crashed": crashed, "delisted": delisted} {
		if r > 1.1 {
			t.Errorf("%s: admitted %.3f of the limit", name, r)
		}
	}
	if healed < 0.9 || delisted < 0.9 {
		t.Errorf("admitted %.3f after the partition healed and %.3f after the crash, want 0.9", healed, delisted)
	}
}

// TestSharesAtDesignSize: with the worst skew, all demand at one of 820 entries, that
// entry still gets nearly all of the limit after two epochs.
func TestSharesAtDesignSize(t *testing.T) {
	const n = 820
	f := newFleet(n, 3)
	f.nodes[17].demand = 100
	f.run(settleRounds(n), &table.Row{Name: testRow, MaxRPS: 50})
	t.Logf("share %.3f, sum %.3f, rounds %d", f.nodes[17].share(), f.shareSum(), Rounds(n, 1))
	if s := f.nodes[17].share(); s < 0.7 || s > 1 {
		t.Errorf("the entry with all demand has a share of %.3f", s)
	}
	if s := f.shareSum(); s < 0.8 || s > 1.2 {
		t.Errorf("shares sum to %.3f", s)
	}
}

// TestShares checks for any demand that shares sum to 1 when the means are
// exact and that no entry's share is zero.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e5), 1, 50).Draw(t, "demands")
		n := len(demands)
		var total float64
		for _, d := range demands {
			total += d
		}
		sum := 0.0
		for _, d := range demands {
			m := Mean{Own: map[string]float64{testRow: d}, Mean: map[string]float64{testRow: total / float64(n)}}
			share, _ := Shares(m, n)
			if share[testRow] <= 0 {
				t.Fatalf("demand %v of %v has no share", d, total)
			}
			sum += share[testRow]
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("shares of %v sum to %v", demands, sum)
		}
	})
}

// TestAveragingKeepsTheSum checks that an exchange preserves the sum of demand over both
// sides, whatever rows the two sides know.
func TestAveragingKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		draw := rapid.MapOfN(rapid.StringMatching(`r[0-9]{1,2}`), rapid.Float64Range(0.1, 1e4), 0, 60)
		a, b := NewAverager(now), NewAverager(now)
		a.beginEpoch(now, 1, draw.Draw(t, "a"))
		b.beginEpoch(now, 1, draw.Draw(t, "b"))
		before := sumOf(a) + sumOf(b)
		for range 5 {
			offer := a.Offer()
			if len(offer.Demand) > MaxRowsPerMessage {
				t.Fatalf("an offer of %d rows", len(offer.Demand))
			}
			reply := b.HandleOffer(now, offer, 2, nil)
			if len(reply.Demand) > MaxRowsPerMessage {
				t.Fatalf("an answer of %d rows", len(reply.Demand))
			}
			a.ApplyReply(now, offer, reply, 2, nil)
		}
		if after := sumOf(a) + sumOf(b); after < before*0.999999 || after > before*1.000001 {
			t.Fatalf("sum %v became %v", before, after)
		}
	})
}

func sumOf(a *Averager) (sum float64) {
	for _, v := range a.values {
		sum += v
	}
	return sum
}

// TestConcurrencyShares: the parts of all entries sum to about the limit, also when there
// are more entries than slots.
func TestConcurrencyShares(t *testing.T) {
	for _, n := range []int{1, 4, 16, 64, 820} {
		for _, limit := range []int{1, 10, 100, 1000} {
			sum := 0
			f := newFleet(n, 5)
			even := 1 / float64(n)
			for _, node := range f.nodes {
				sum += ConcurrencyShare(limit, even, even, node.set.rng.Float64())
			}
			t.Logf("entries=%d limit=%d: together %d", n, limit, sum)
			bound := limit + n - 1
			if limit < n {
				bound = limit + 10 + limit // more than four standard deviations above the mean
			}
			if sum > bound {
				t.Errorf("entries=%d limit=%d: parts sum to %d, want at most %d", n, limit, sum, bound)
			}
		}
	}
}
