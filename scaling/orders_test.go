package scaling

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/duty"
	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

var testTarget = Target{Service: "desk", Zone: "z"}

func newOrders(s *rowstore.Store, serving int) (*Orders, *fleet.View) {
	view := fleet.NewView()
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "desk", Autoscale: &testBounds}, {Name: "other"}}}
	config.Index()
	view.SetConfig(config)
	var list []fleet.Instance
	for i := range serving {
		list = append(list, fleet.Instance{ID: string(rune('a' + i)), Service: "desk", Zone: "z", Addr: "10.0.0.1:" + string(rune('1'+i)), Slots: testSlots})
	}
	view.UpdateInstances(append(list, fleet.Instance{ID: "y", Service: "desk", Zone: "y", Addr: "10.0.1.1:1", Slots: testSlots}), nil)
	return &Orders{Target: testTarget, Rows: s, View: view, Zones: []string{"y", "z"}, Now: s.Now, Log: observe.Discard()}, view
}

func startWriter(ctx context.Context, s *rowstore.Store, zone, name string) *Meter {
	m := NewMeter()
	w := &Writer{
		Rows: s, Meter: m, Autoscaled: func(service string) bool { return service == "desk" }, Now: s.Now, Zone: zone, Name: name, Log: observe.Discard(),
	}
	go w.Run(ctx)
	return m
}

func decide(t *testing.T, o *Orders, last []byte) *Order {
	t.Helper()
	work, err := o.Decide(t.Context(), 1, last)
	if err != nil {
		t.Fatal(err)
	}
	if work == nil {
		return nil
	}
	var order Order
	if err := codec.Unmarshal(work, &order); err != nil {
		t.Fatal(err)
	}
	return &order
}

// TestOrdersFollowTheLoadOfAllProcesses sums the loads of two processes in two zones.
// Requests to other zones and services must not count.
func TestOrdersFollowTheLoadOfAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		o, _ := newOrders(s, 3)
		if got := decide(t, o, nil); got != nil {
			t.Errorf("ordered %+v before any load was written", got)
		}
		a, b := startWriter(t.Context(), s, "y", "a"), startWriter(t.Context(), s, "z", "b")
		var ends []func()
		for range 10 {
			ends = append(ends, a.Begin(testTarget), b.Begin(testTarget), a.Begin(Target{"desk", "y"}), b.Begin(Target{"other", "z"}))
		}
		time.Sleep(2*writeInterval + time.Millisecond)
		got := decide(t, o, nil)
		if got == nil || got.Endpoints != 5 || got.Target != testTarget {
			t.Fatalf("got %+v, want 5 endpoints for 20 slots", got)
		}
		work, err := codec.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		if again := decide(t, o, work); again != nil {
			t.Errorf("ordered again: %+v", again)
		}
		for _, end := range ends {
			end()
		}
		time.Sleep(2*writeInterval + time.Millisecond)
		commits := s.Commits()
		time.Sleep(10 * writeInterval)
		if s.Commits() > commits+2 {
			t.Error("idle processes keep writing")
		}
	})
}

// TestNoOrderWithoutRequiredInputs: without the store, a configuration or an instance list
// nothing is ordered, nor for a service that is no longer autoscaled.
func TestNoOrderWithoutRequiredInputs(t *testing.T) {
	s := rowstore.New()
	o, view := newOrders(s, 3)
	client := s.Client()
	client.SetError(store.ErrRefused)
	o.Rows = client
	if _, err := o.Decide(t.Context(), 1, nil); err == nil {
		t.Error("decided without the store")
	}
	if _, err := o.Decide(t.Context(), 1, []byte("{")); err == nil {
		t.Error("decided although the last order cannot be decoded")
	}
	next := &fleet.Config{Version: 2, Services: []fleet.Service{{Name: "desk"}}}
	next.Index()
	view.SetConfig(next)
	if got := decide(t, o, nil); got != nil {
		t.Errorf("got %+v", got)
	}
	o.View = fleet.NewView()
	if got := decide(t, o, nil); got != nil {
		t.Errorf("got %+v", got)
	}
}

type fakeScaler struct{ got []Order }

func (f *fakeScaler) Scale(_ context.Context, _ duty.Fence, _ func() bool, o *Order) error {
	f.got = append(f.got, *o)
	return nil
}

// TestOrderIsSentAndStoppedProcessRowDeleted sends an order, and expects that the row of a stopped
// process is deleted.
func TestOrderIsSentAndStoppedProcessRowDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, scaler := rowstore.New(), &fakeScaler{}
		o, _ := newOrders(s, 3)
		o.Scaler = scaler
		ctx, stop := context.WithCancel(t.Context())
		crashed := startWriter(ctx, s, "z", "gone")
		crashed.Begin(testTarget)
		time.Sleep(writeInterval + time.Millisecond)
		stop()
		time.Sleep(removeLoadAge)
		m := startWriter(t.Context(), s, "z", "lives")
		for range 30 {
			m.Begin(testTarget)
		}
		time.Sleep(writeInterval + time.Millisecond)
		work, err := o.Decide(t.Context(), 1, nil)
		if err != nil || work == nil {
			t.Fatalf("got %v, %v", work, err)
		}
		if err := o.Send(t.Context(), duty.Fence{}, func() bool { return true }, work); err != nil || len(scaler.got) != 1 || scaler.got[0].Endpoints != 8 {
			t.Errorf("got %+v, %v", scaler.got, err)
		}
		o.OnDone(t.Context(), 1)
		if rows := s.Rows(TableLoads); len(rows) != 1 || rows[0].Name != "lives" {
			t.Errorf("%d rows left, want only that of the live process", len(rows))
		}
	})
}

func TestDecisionSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Orders{}
		piece, due := o.Next(0, false)
		if due.After(time.Now()) || time.Since(due) > decisionInterval {
			t.Errorf("piece %d is due %s", piece, due)
		}
		if next, due := o.Next(piece, true); next != piece+1 || !due.After(time.Now()) {
			t.Errorf("next piece %d is due %s", next, due)
		}
		if coming, due := o.NextDue(time.Now()); coming != piece+1 || !due.After(time.Now()) {
			t.Errorf("coming piece %d is due %s", coming, due)
		}
	})
}
