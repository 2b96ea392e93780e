package agent

import (
	"testing"
	"time"

	"mulberryscale.example/internal/standin/weights"
	spread "mulberryscale.example/weights"
)

// byRank returns the nodes in the order of their ranks in the distribution tree of a
// version, the root first.
func (f *fleet) byRank(version uint64) []*node {
	ranked := make([]*node, len(f.nodes))
	for _, n := range f.nodes {
		ranked[n.agent.treePosition(model, version).Rank] = n
	}
	return ranked
}

// waitHalfFetched waits until a node has fetched half of the parts from the store.
func (f *fleet) waitHalfFetched(n *node, parts int64) {
	for n.agent.distribution.relay.Stats().StoreParts < parts/2 {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestWeightsSpreadUnderFaults: when agents crash or the store fails, the engines of the
// remaining agents get the version within the bound, and the store serves a limited
// number of parts.
func TestWeightsSpreadUnderFaults(t *testing.T) {
	const agents, parts, next = 24, 32, 4
	cases := []struct {
		name string
		// fail publishes the version, injects the fault and returns the remaining nodes.
		fail func(f *fleet, ranked []*node) []*node
		// bound is the time limit, and storeParts the largest number of parts that may be
		// read from the store.
		bound      time.Duration
		storeParts int64
		store      weights.Options
	}{
		{name: "root dead", bound: 20 * time.Second, storeParts: 8 * parts, fail: func(f *fleet, ranked []*node) []*node {
			f.kill(ranked[0])
			f.publish(next, parts)
			return ranked[1:]
		}},
		{name: "a third dead", bound: time.Minute, storeParts: 12 * parts, fail: func(f *fleet, ranked []*node) []*node {
			var left []*node
			for i, n := range ranked {
				if i%3 == 1 {
					f.kill(n)
					continue
				}
				left = append(left, n)
			}
			f.publish(next, parts)
			return left
		}},
		{name: "root dies halfway", bound: time.Minute, storeParts: 8 * parts, store: weights.Options{BytesPerSecond: 4 * partBytes},
			fail: func(f *fleet, ranked []*node) []*node {
				f.publish(next, parts)
				f.waitHalfFetched(ranked[0], parts)
				f.kill(ranked[0])
				return ranked[1:]
			}},
		{name: "outage of the store", bound: time.Minute, storeParts: 8 * parts, store: weights.Options{BytesPerSecond: 4 * partBytes},
			fail: func(f *fleet, ranked []*node) []*node {
				f.publish(next, parts)
				f.waitHalfFetched(ranked[0], parts)
				f.store.Outage(true)
				time.Sleep(time.Minute)
				f.store.Outage(false)
				return ranked
			}},
		{name: "slow store", bound: time.Minute, storeParts: 2 * parts, store: weights.Options{BytesPerSecond: 2 * partBytes},
			fail: func(f *fleet, ranked []*node) []*node {
				f.publish(next, parts)
				return ranked
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, fleetOptions{agents: agents, zones: 3, store: c.store}, func(f *fleet) {
				left := c.fail(f, f.byRank(next))
				took := f.waitReady(c.bound, left...)
				peer, store := f.partCounts()
				t.Logf("last engine after %s, %d parts from the store, %d from peers", took[len(took)-1], store, peer)
				if store > c.storeParts {
					t.Fatalf("%d parts came from the store, want at most %d", store, c.storeParts)
				}
				for _, n := range left {
					if s := n.agent.distribution.relay.Stats(); s.PeakBytes > spread.DefaultWindow*partBytes {
						t.Fatalf("%s buffered %d bytes at its peak", n.id, s.PeakBytes)
					}
				}
			})
		})
	}
}
