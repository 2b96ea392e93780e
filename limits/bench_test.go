package limits

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/table"
	"mulberryscale.example/transport/codec"
	"mulberryscale.example/wire"
)

// BenchmarkAdmit measures admitting and completing one request, by the number of rows.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			set := NewSeededSet(1)
			rows := make([]table.Row, n)
			for i := range rows {
				rows[i] = table.Row{Name: fmt.Sprintf("row-%d", i), MaxRPS: 1e9, MaxTPS: 1e9, MaxConcurrency: 1000}
			}
			now := time.Unix(1000, 0)
			i := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				ticket, exceeded := set.Admit(&rows[i%n], now)
				if exceeded != nil {
					b.Fatal(exceeded.Code)
				}
				ticket.Done(100, now)
				i++
			}
		})
	}
}

// BenchmarkExchange measures one exchange of demand, both sides with encoding, and
// its bytes both ways, by the number of rows that have limits and demand.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{1, 4, 16, 32, 128} {
		b.Run(fmt.Sprintf("rows=%d", n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			demand := map[string]float64{}
			for i := range n {
				demand[fmt.Sprintf("trainer-row-%03d", i)] = 123.456 + float64(i)
			}
			x, y := NewAverager(now), NewAverager(now)
			x.beginEpoch(now, 1, demand)
			y.beginEpoch(now, 1, demand)
			header := wire.Header{From: "entry-00123", Incarnation: "8b4c7f5e-3f1a-4f0e-9b1d-2f6d1a9c0e77", TableVersion: 5300, Addr: "10.1.2.3:7443"}
			total := 0
			for b.Loop() {
				offer := x.Offer()
				asked, err := codec.Marshal(&wire.Request{Header: header, Gossip: &offer})
				if err != nil {
					b.Fatal(err)
				}
				var request wire.Request
				if err := codec.Unmarshal(asked, &request); err != nil {
					b.Fatal(err)
				}
				reply := y.HandleOffer(now, *request.Gossip, 820, demand)
				answered, err := codec.Marshal(&wire.Reply{Header: header, Gossip: &reply})
				if err != nil {
					b.Fatal(err)
				}
				var back wire.Reply
				if err := codec.Unmarshal(answered, &back); err != nil {
					b.Fatal(err)
				}
				x.ApplyReply(now, offer, *back.Gossip, 820, demand)
				total = len(asked) + len(answered)
			}
			b.ReportMetric(float64(total), "B/exchange")
		})
	}
}
