package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// acceptingPeers stands in for agents that accept all items that they are handed.
type acceptingPeers struct{ received []int }

func (g *acceptingPeers) Call(_ context.Context, _ string, ask *PeerRequest) (*PeerReply, error) {
	for _, h := range ask.Give.Items {
		g.received = append(g.received, h.Index)
	}
	return &PeerReply{Taken: len(ask.Give.Items)}, nil
}

// newWaitingWorker returns an agent with waiting items of one job.
func newWaitingWorker(peers PeerClient, items int) (*Worker, *workJob, []*task) {
	w := NewWorker(WorkerConfig{
		Engine: "10.0.0.1:80", View: fleet.NewView(), Peers: peers, Log: observe.Discard(), Counters: observe.NewCounters(),
	})
	j := &workJob{job: &Job{ID: "j"}, items: make([]Item, items), tasks: map[int]*task{}, done: map[int]bool{}, transfers: transfers{}}
	w.jobs["j"] = j
	for i := range items {
		j.items[i].ID = string(rune('a' + i))
		t := &task{j: j, item: &j.items[i], index: i}
		j.tasks[i] = t
		w.waiting = append(w.waiting, t)
	}
	return w, j, append([]*task(nil), w.waiting...)
}

// TestItemIsHandedToOneAgent guards against an item that one agent takes while its holder
// is about to hand it to another one: both would run it.
func TestItemIsHandedToOneAgent(t *testing.T) {
	others := &acceptingPeers{}
	w, j, all := newWaitingWorker(others, 4)
	taken := w.handOver("10.0.0.2:80", &TakeRequest{Job: "j", Max: 2})
	w.pushJobItems(t.Context(), j, all, takingWork("10.0.0.3:80"), moveUnavailable)
	if n := len(taken.Items); n != 2 {
		t.Fatalf("%d items taken, want 2", n)
	}
	if len(others.received) != 2 {
		t.Errorf("items %v handed over, of which two were taken by another agent", others.received)
	}
}

// TestRunningItemIsHandedToOneAgent checks the same for an item whose run is being stopped
// meanwhile. One that completes before it is stopped stays and can be handed over later.
func TestRunningItemIsHandedToOneAgent(t *testing.T) {
	for name, completes := range map[string]bool{"stopped": false, "completed before": true} {
		t.Run(name, func(t *testing.T) {
			w, j, all := newWaitingWorker(&acceptingPeers{}, 1)
			running := all[0]
			w.waiting = nil
			running.cancel, running.stopped = func(error) {}, make(chan struct{})
			detached, stopped := w.detach(all)
			if again, _ := w.detach(all); len(detached) != 1 || len(again) != 0 {
				t.Fatalf("detached %d and %d times", len(detached), len(again))
			}
			if !completes {
				w.removeTask(running)
			}
			close(running.stopped)
			handed := w.packDetached(j, detached, stopped, "10.0.0.2:80", "taken")
			if (len(handed.Items) == 0) != completes {
				t.Errorf("handed over: %v", handed.Items)
			}
			if later, _ := w.detach(all); (len(later) == 1) != completes {
				t.Errorf("detached %d times later", len(later))
			}
		})
	}
}

// refusingPeers stands in for agents of which some take no items; it records who got which.
type refusingPeers struct {
	refuses map[string]bool // by address
	offers  []string        // addresses, in order
	taken   map[int]string  // address by item
}

func (g *refusingPeers) Call(_ context.Context, addr string, ask *PeerRequest) (*PeerReply, error) {
	g.offers = append(g.offers, addr)
	if g.refuses[addr] {
		return &PeerReply{}, nil
	}
	for _, h := range ask.Give.Items {
		g.taken[h.Index] = addr
	}
	return &PeerReply{Taken: len(ask.Give.Items)}, nil
}

// TestPushedItemsGoToTheAgentsWithMostRoom guards against a single item that is given to the agent with the least
// room, and against items that are offered to one agent only, though it takes nothing.
func TestPushedItemsGoToTheAgentsWithMostRoom(t *testing.T) {
	const first, second, third = "10.0.0.2:0", "10.0.0.3:0", "10.0.0.4:0" // in the order of their free slots
	for name, c := range map[string]struct {
		items   int
		refuses []string
		want    []string // by item
	}{
		"one item":                   {1, nil, []string{first}},
		"two items":                  {2, nil, []string{first, second}},
		"three items":                {3, nil, []string{first, second, third}},
		"one refuses":                {1, []string{first}, []string{second}},
		"one of three refuses":       {3, []string{second}, []string{first, third, third}},
		"two refuse":                 {1, []string{first, second}, []string{third}},
		"all refuse, items are kept": {2, []string{first, second, third}, []string{"", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			peers := &refusingPeers{refuses: map[string]bool{}, taken: map[int]string{}}
			for _, addr := range c.refuses {
				peers.refuses[addr] = true
			}
			w, j, all := newWaitingWorker(peers, c.items)
			w.pushJobItems(t.Context(), j, all, takingWork("10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"), moveUnavailable)
			for i, want := range c.want {
				if peers.taken[i] != want {
					t.Errorf("item %d went to %q, want %q; offers %v", i, peers.taken[i], want, peers.offers)
				}
				if held := j.tasks[i] != nil; held != (want == "") {
					t.Errorf("item %d is held here: %v", i, held)
				}
			}
		})
	}
}

// TestItemAvoidedByAllIsReleased guards against an item that waits at a full engine though others have room, since its
// answers have broken off at each of them in turn.
func TestItemAvoidedByAllIsReleased(t *testing.T) {
	const holder, second, third = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"
	for name, c := range map[string]struct {
		avoid []string
		to    string
		want  int
	}{
		"avoids nobody":           {nil, second, 1},
		"avoids the asking one":   {[]string{second}, second, 0},
		"avoids another":          {[]string{third}, second, 1},
		"avoids all others":       {[]string{second, third}, second, 1},
		"avoids all, also itself": {[]string{holder, second, third}, third, 1},
	} {
		for _, pace := range []int{0, 100} {
			t.Run(fmt.Sprint(name, ", pace ", pace), func(t *testing.T) {
				w, j, all := newWaitingWorker(&acceptingPeers{}, 1)
				j.job.Owners = []string{holder, second, third}
				all[0].avoid = c.avoid
				if pace > 0 {
					w.knowSpeed(pace)
				}
				got := w.handOver(c.to, &TakeRequest{Job: "j", Max: 1, Pace: pace})
				if len(got.Items) != c.want {
					t.Errorf("%d items released, want %d", len(got.Items), c.want)
				}
			})
		}
	}
}

// knowSpeed gives the agent's engine a reported pace and enough runs to estimate by.
func (w *Worker) knowSpeed(pace int) {
	w.engine.speed.pace.Observe(time.Now(), pace)
	for range minSpeedRuns {
		w.engine.speed.recordRun(time.Now(), 100, 100, 1700*time.Millisecond)
	}
	w.View.UpdateInstances([]fleet.Instance{{ID: "i", Addr: w.Engine, Slots: 1}}, nil)
}

// takingWork returns statuses of engines that take work and have equally many free slots.
func takingWork(engines ...string) map[string]*Status {
	statuses := map[string]*Status{}
	for _, e := range engines {
		statuses[e] = &Status{Up: true}
	}
	return statuses
}
