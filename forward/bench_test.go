package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// benchSender answers at once.
type benchSender struct{}

func (benchSender) Send(context.Context, fleet.Instance, *Request, time.Duration) (*Answer, error) {
	return &Answer{Status: 200, Load: &fleet.Load{Running: 1, Slots: 6}}, nil
}

// BenchmarkAdmission measures what a gate adds to a request, for a service of 60 endpoints.
func BenchmarkAdmission(b *testing.B) {
	for name, settings := range map[string]GateSettings{"without": DefaultGateSettings(), "with": testSettings()} {
		b.Run(name, func(b *testing.B) {
			view := fleet.NewView()
			view.SetConfig(&fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}})
			for i := range 60 {
				id := fmt.Sprint("e", i)
				view.UpdateInstances([]fleet.Instance{{ID: id, Service: "s", Zone: "here", Addr: id, Slots: 6}}, nil)
			}
			f := New(view, benchSender{}, "here", observe.Discard(), observe.NewCounters())
			f.Gates = NewGates(settings)
			q := request(fleet.KindSafe)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.Do(b.Context(), q); err != nil {
					b.Fatal(err)
				}
				q.Reached = 0
			}
		})
	}
}
