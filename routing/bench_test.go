package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/membership"
	"mulberryscale.example/platform"
	"mulberryscale.example/wire"
)

// BenchmarkPick measures one pick, by the number of watched agents.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 64, 128, 256} {
		b.Run(fmt.Sprintf("watched=%d", n), func(b *testing.B) {
			view := membership.NewView()
			var list []platform.Instance
			for i := range n {
				list = append(list, platform.Instance{ID: fmt.Sprintf("agent-%d", i), Role: platform.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%4), Addr: "10.0.0.1:1"})
			}
			view.ApplyList(list)
			for i, in := range list {
				report := wire.Report{Seq: 1, Healthy: true, Slots: 64, Running: i % 64, Capacity: 100, Models: []wire.ModelReport{{Model: "guide", Version: 7, Ready: true}}}
				view.ApplyReport(wire.Header{From: in.ID, Incarnation: "a"}, report, time.Unix(1000, 0))
			}
			router, rng := NewInteractive(), rand.New(rand.NewPCG(1, 2))
			req := &Request{Model: "guide", Zone: "zone-1", PrefixKey: 99}
			for b.Loop() {
				if _, err := router.Pick(req, view.Snapshot(), rng); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
