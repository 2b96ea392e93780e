package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/table"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/transport"
	"mulberryscale.example/wire"
)

// watch collects an agent's reports, with their arrival times, until the stream ends.
type watch struct {
	s  transport.Stream
	ch chan timedReport
}

type timedReport struct {
	*wire.Report
	at time.Time
}

func (r *rig) watch(shortest, longest time.Duration) *watch {
	w := &watch{
		s:  r.open(wire.Request{Watch: &wire.Watch{MinInterval: shortest, MaxInterval: longest}}),
		ch: make(chan timedReport, 1000),
	}
	go func() {
		defer close(w.ch)
		for {
			var reply wire.Reply
			if w.s.Recv(&reply) != nil {
				return
			}
			w.ch <- timedReport{reply.Report, time.Now()}
		}
	}()
	return w
}

func TestWatch(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		began := time.Now()
		w := r.watch(100*time.Millisecond, time.Second)
		defer w.s.Close()
		first := <-w.ch
		if !first.at.Equal(began) || !first.Healthy || first.Slots != engine.DefaultSlots || first.Zone != "z1" ||
			len(first.Models) != 1 || first.Models[0] != (wire.ModelReport{Model: model, Version: 3, Ready: true}) {
			t.Fatalf("first report %+v", first.Report)
		}
		if beat := <-w.ch; beat.at.Sub(began) != time.Second || beat.Seq <= first.Seq {
			t.Fatalf("heartbeat %+v after %s", beat.Report, beat.at.Sub(began))
		}
		for i := range 20 { // the report changes every 10 ms
			go r.run(generation(string(rune('a' + i))))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		last := began
		n := 0
		for len(w.ch) > 0 {
			rep := <-w.ch
			if gap := rep.at.Sub(last); n > 0 && gap < 100*time.Millisecond {
				t.Fatalf("two reports within %s", gap)
			}
			last = rep.at
			n++
		}
		if n < 5 {
			t.Fatalf("%d reports in the second with changes", n)
		}
	})
}

func TestDrain(t *testing.T) {
	inBubble(t, engine.Options{Slots: 1}, nil, func(t *testing.T, r *rig) {
		w := r.watch(time.Hour, time.Hour)
		defer w.s.Close()
		<-w.ch
		running := r.async(generation("running"))
		synctest.Wait()
		queued := r.async(generation("queued"))
		time.Sleep(20 * time.Millisecond)
		drained := make(chan error, 1)
		began := time.Now()
		go func() { drained <- r.agent.Drain(context.Background()) }()
		a := <-queued
		wantRefusal(t, a, api.CodeDraining, api.NotRunTrue)
		if a.refusal().RetryAfter == 0 || !time.Now().Equal(began) {
			t.Fatalf("the waiting run was refused %s after the drain began: %v", time.Since(began), a.refusal())
		}
		if rep := <-w.ch; !rep.Draining || !rep.at.Equal(began) {
			t.Fatalf("the watcher got %+v after %s", rep.Report, rep.at.Sub(began))
		}
		wantRefusal(t, r.run(generation("new")), api.CodeDraining, api.NotRunTrue)
		attached := r.async(&wire.Run{Key: "row/running", AttachOnly: true})
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		r.stop() // as the daemon does; replies sent before must still arrive
		if a := <-running; a.final.Done == nil || a.final.Done.Text != r.record("running").Text {
			t.Fatalf("the running run got %+v", a)
		}
		if a := <-attached; a.final.Done == nil {
			t.Fatalf("the attached reader got %+v", a)
		}
		r.wantNotRun("queued")
		r.wantNotRun("new")
	})
}

func TestDrainHandsResultsOver(t *testing.T) {
	for _, fetched := range []bool{true, false} {
		inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
			req := generation("g")
			req.Retention = time.Minute
			gone := r.open(wire.Request{Run: req})
			time.Sleep(20 * time.Millisecond)
			gone.Close()
			drained := make(chan error, 1)
			began := time.Now()
			go func() { drained <- r.agent.Drain(context.Background()) }()
			time.Sleep(time.Second)
			if fetched {
				if a := r.run(&wire.Run{Key: req.Key, AttachOnly: true}); a.final.Done == nil {
					t.Fatalf("during the drain a reader got %+v", a)
				}
			}
			if err := <-drained; err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); (took < DefaultHandOverTimeout) != fetched {
				t.Fatalf("fetched %v: the drain took %s", fetched, took)
			}
		})
	}
}

func TestDrainByPeer(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		for range 2 {
			if !r.call(wire.Request{Drain: &wire.Drain{Reason: "test"}}).final.OK {
				t.Fatal("the drain was not taken")
			}
		}
		<-r.agent.DrainRequested()
		wantRefusal(t, r.run(generation("new")), api.CodeDraining, api.NotRunTrue)
	})
}

// document returns a table with a single row for trainers, made from the given one.
func document(version uint64, row table.Row) wire.TableDocument {
	row.Name, row.Kind, row.Model = "trainer", table.KindTrainer, model
	row.Share, row.Deadline, row.WaitShare = 1, time.Minute, 1
	row.Leftover = table.LeftoverCarry
	if row.MaxQueue == 0 {
		row.MaxQueue = 100
	}
	if row.Swap == "" {
		row.Swap = table.SwapAtOnce
	}
	body, err := table.Format("csv", []table.Row{row})
	if err != nil {
		panic(err)
	}
	return wire.TableDocument{Version: version, Format: "csv", Body: body}
}

func TestTableIsPulledAndPushed(t *testing.T) {
	inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
		peer, err := r.net.Listen("entry-2", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		doc := document(7, table.Row{})
		go peer.Serve(ctx, func(_ context.Context, s transport.Stream) {
			var req wire.Request
			if s.Recv(&req) == nil && req.PullTable != nil {
				s.Send(&wire.Reply{Table: &doc})
			}
		})
		r.call(wire.Request{Header: wire.Header{From: "entry-2", TableVersion: 7, Addr: peer.Addr()}, Gossip: &wire.Gossip{}})
		synctest.Wait()
		if v := r.agent.cfg.Holder.Version(); v != 7 {
			t.Fatalf("after a newer header, version %d is in force", v)
		}
		older := document(6, table.Row{})
		if !r.call(wire.Request{PushTable: &older}).final.OK || r.agent.cfg.Holder.Version() != 7 {
			t.Fatal("an older table was put in force")
		}
		bad := wire.TableDocument{Version: 8, Format: "csv", Body: []byte("what")}
		if a := r.call(wire.Request{PushTable: &bad}); a.refusal().Code != api.CodeBadRequest {
			t.Fatalf("a bad table got %+v", a.final)
		}
		if a := r.call(wire.Request{PullTable: &wire.PullTable{Have: 6}}); a.final.Table == nil || a.final.Table.Version != 7 {
			t.Fatalf("pulled %+v", a.final)
		}
		if a := r.call(wire.Request{PullTable: &wire.PullTable{Have: 7}}); a.final.Table != nil || !a.final.OK {
			t.Fatalf("pulled %+v", a.final)
		}
	})
}

// TestRowsQueueIsBounded: the agent enforces the max_queue of a table's row.
func TestRowsQueueIsBounded(t *testing.T) {
	var holder *tablesync.Holder
	inBubble(t, engine.Options{Slots: 1}, func(c *Config) {
		holder = tablesync.NewHolder()
		c.Holder = holder
	}, func(t *testing.T, r *rig) {
		if _, err := holder.Install(document(1, table.Row{MaxQueue: 1})); err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"running", "queued"} {
			ch := r.async(generation(id))
			defer func() { <-ch }()
			synctest.Wait()
		}
		a := r.run(generation("full"))
		wantRefusal(t, a, api.CodeQueueFull, api.NotRunTrue)
		if a.refusal().RetryAfter == 0 || r.agent.cfg.Counters.Refusals("trainer", api.CodeQueueFull) != 1 {
			t.Fatalf("refused with %v", a.refusal())
		}
	})
}

// TestIdleAgentRefusesCallsSentBeforeItsDrainIsKnown guards against a call that is on its way when an idle agent is
// stopped: it broke, and its sender did not know whether it ran.
func TestIdleAgentRefusesCallsSentBeforeItsDrainIsKnown(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		inBubble(t, engine.Options{}, nil, func(t *testing.T, r *rig) {
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				if err := r.agent.Drain(context.Background()); err != nil {
					t.Error(err)
				}
				r.stop() // as the daemon does
			}()
			defer func() { <-stopped }()
			synctest.Wait()
			time.Sleep(after)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s, err := r.dialer.Open(ctx, r.agent.Addr())
			if err != nil {
				t.Errorf("%v after the drain began: %v", after, err)
				return
			}
			context.AfterFunc(ctx, func() { s.Close() })
			var reply wire.Reply
			err = s.Send(&wire.Request{Run: generation("new")})
			if err == nil {
				err = s.Recv(&reply)
			}
			if err != nil || reply.Refusal == nil || reply.Refusal.Code != api.CodeDraining || reply.Refusal.NotRun != api.NotRunTrue {
				t.Errorf("%v after the drain began: %+v, %v", after, reply.Refusal, err)
			}
		})
	}
}
