package fleet

import (
	"fmt"
	"testing"
)

func TestConfigurationNeverReverts(t *testing.T) {
	v := NewView()
	for _, c := range []struct {
		version uint64
		taken   bool
	}{{3, true}, {3, false}, {2, false}, {9, true}, {4, false}} {
		config := &Config{Version: c.version}
		if taken := v.SetConfig(config); taken != c.taken {
			t.Errorf("version %d taken: %v", c.version, taken)
		}
	}
	if got := v.Snapshot().Config.Version; got != 9 {
		t.Errorf("version %d is in force", got)
	}
}

func TestNamedVersionsNeverDecrease(t *testing.T) {
	v := NewView()
	if !v.SetNamedVersion("m", 3) || v.SetNamedVersion("m", 2) || v.SetNamedVersion("m", 3) || v.Snapshot().NamedVersions["m"] != 3 {
		t.Errorf("got %v", v.Snapshot().NamedVersions)
	}
}

// TestOneInstanceAtAnAddress restarts an engine before the row of its former incarnation has
// expired: only the instance with the newer row must remain at the address.
func TestOneInstanceAtAnAddress(t *testing.T) {
	v := NewView()
	v.UpdateInstances([]Instance{
		{ID: "second", Service: "s", Addr: "10.0.0.1:1", RowVersion: 9}, {ID: "first", Service: "s", Addr: "10.0.0.1:1", RowVersion: 7},
		{ID: "third", Service: "t", Addr: "10.0.0.2:1", RowVersion: 8}, {ID: "fourth", Service: "s", Addr: "10.0.0.2:1", RowVersion: 5},
	}, nil)
	if list := v.Snapshot().OfService("s"); len(list) != 1 || list[0].ID != "second" {
		t.Errorf("got %v", list)
	}
	if i, ok := v.Snapshot().AtAddr("10.0.0.2:1"); !ok || i.ID != "third" {
		t.Errorf("at an address that an instance of another service has taken over: %v", i)
	}
	v.UpdateInstances(nil, []string{"second"})
	if list := v.Snapshot().OfService("s"); len(list) != 1 || list[0].ID != "first" {
		t.Errorf("after the removal: %v", list)
	}
}

func TestInstancesThatTakeWork(t *testing.T) {
	v := NewView()
	if v.Snapshot().Listed {
		t.Error("nothing was listed yet")
	}
	before := v.Snapshot()
	v.UpdateInstances([]Instance{
		{ID: "new", Service: "s", Addr: "10.0.0.1:1"}, {ID: "old", Service: "s", Addr: "10.0.0.1:1", Draining: true},
		{ID: "b", Service: "s", Addr: "10.0.0.2:1"}, {ID: "c", Service: "t", Addr: "10.0.0.3:1"},
	}, nil)
	if len(before.Instances) != 0 || !v.Snapshot().Listed {
		t.Error("a snapshot must not change")
	}
	if list := v.Snapshot().OfService("s"); len(list) != 2 || list[0].ID != "new" || list[1].ID != "b" {
		t.Errorf("got %v", list)
	}
	if i, ok := v.Snapshot().AtAddr("10.0.0.1:1"); !ok || i.ID != "new" {
		t.Errorf("at the address: %v", i)
	}
	changed := v.Changed()
	v.UpdateInstances(nil, []string{"b"})
	select {
	case <-changed:
	default:
		t.Error("Changed was not signalled")
	}
	if list := v.Snapshot().OfService("s"); len(list) != 1 {
		t.Errorf("got %v", list)
	}
}

func TestBackendFollowsWeights(t *testing.T) {
	route := &Route{Backends: []Backend{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
	n := 0
	for i := range 10_000 {
		if route.Backend(fmt.Sprint(i)) == "y" {
			n++
		}
	}
	if n < 800 || n > 1200 {
		t.Fatalf("%d of 10,000 requests went to a backend with a tenth of the weight", n)
	}
	if (&Route{}).Backend("r") != "" {
		t.Fatal("a route without backends must return none")
	}
}
