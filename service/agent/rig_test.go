package agent

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
	"mulberryscale.example/wire"
)

const (
	agentID = "agent-1"
	entryID = "entry-1"
	model   = "guide"
)

// TestMain sets a fixed default for rapid's seed; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// rig is an agent with a stand-in engine on an in-memory network.
type rig struct {
	t      testing.TB
	net    *memtransport.Network
	engine *engine.Engine
	agent  *Agent
	dialer transport.Dialer
	stop   context.CancelFunc
	ended  chan struct{}
}

// newRig starts an agent; change, if not nil, may modify its configuration.
func newRig(t testing.TB, o engine.Options, change func(*Config)) *rig {
	t.Helper()
	if o.Models == nil {
		o.Models = map[string]uint64{model: 3}
	}
	net := memtransport.NewNetwork()
	r := &rig{t: t, net: net, engine: engine.New(o), dialer: net.Dialer(entryID), ended: make(chan struct{})}
	l, err := net.Listen(agentID, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{ID: agentID, Zone: "z1", Listener: l, Dialer: net.Dialer(agentID), Engine: r.engine, Seed: 1}
	if change != nil {
		change(&cfg)
	}
	if r.agent, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() {
		defer close(r.ended)
		if err := r.agent.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	synctest.Wait()
	return r
}

func (r *rig) close() {
	r.stop()
	<-r.ended
	r.dialer.Close()
}

// answer is the reply to a request, as received.
type answer struct {
	text    string // text of the chunks
	chunks  int
	final   wire.Reply
	err     error
	started time.Duration // time until the first chunk
	took    time.Duration // time until the final reply
}

func (a answer) refusal() *api.Refusal {
	if a.final.Refusal == nil {
		return &api.Refusal{}
	}
	return a.final.Refusal
}

// open sends a request and returns its stream, which the caller closes.
func (r *rig) open(req wire.Request) transport.Stream {
	r.t.Helper()
	s, err := r.dialer.Open(context.Background(), r.agent.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	if err := s.Send(&req); err != nil {
		r.t.Fatal(err)
	}
	return s
}

// read receives an answer until its final reply or an error, and closes the stream.
func read(s transport.Stream) answer {
	defer s.Close()
	var a answer
	began := time.Now()
	for {
		var reply wire.Reply
		if a.err = s.Recv(&reply); a.err != nil {
			return a
		}
		if c := reply.Chunk; c != nil {
			if a.chunks == 0 {
				a.started = time.Since(began)
			}
			if c.Whole {
				a.text = ""
			}
			a.text += c.Text
			a.chunks++
			continue
		}
		a.final = reply
		a.took = time.Since(began)
		return a
	}
}

func (r *rig) call(req wire.Request) answer { return read(r.open(req)) }

func (r *rig) run(req *wire.Run) answer { return r.call(wire.Request{Run: req}) }

// async starts a run and reads its answer in the background.
func (r *rig) async(req *wire.Run) <-chan answer {
	s := r.open(wire.Request{Run: req})
	ch := make(chan answer, 1)
	go func() { ch <- read(s) }()
	return ch
}

// generation returns a run that generates a text; the stand-in engine finishes it after
// about 64 tokens.
func generation(id string) *wire.Run {
	return &wire.Run{
		RunID: id, Key: "row/" + id, Row: "trainer", Class: wire.ClassTraining, Budget: time.Minute,
		Generate: &wire.Generate{Model: model, Prompt: "prompt of " + id, MaxTokens: 400},
	}
}

// record returns the engine's record of a run, and fails unless there is exactly one.
func (r *rig) record(id string) engine.Record {
	r.t.Helper()
	var found []engine.Record
	for _, rec := range r.engine.Records() {
		if rec.RunID == id {
			found = append(found, rec)
		}
	}
	if len(found) != 1 {
		r.t.Fatalf("run %s was started %d times on the engine", id, len(found))
	}
	return found[0]
}

// wantNotRun checks that a run was not started on the engine.
func (r *rig) wantNotRun(id string) {
	r.t.Helper()
	for _, rec := range r.engine.Records() {
		if rec.RunID == id {
			r.t.Fatalf("run %s was started on the engine", id)
		}
	}
}

// wantRefusal checks that an answer is this refusal and names its peer and step.
func wantRefusal(t testing.TB, a answer, code api.Code, notRun api.NotRun) {
	t.Helper()
	if ref := a.refusal(); ref.Code != code || ref.NotRun != notRun {
		t.Fatalf("got %+v (%v), want %s with not_run %s", a.final, a.err, code, notRun)
	}
	if a.refusal().Peer != agentID || !strings.HasPrefix(a.refusal().Step, "agent.") {
		t.Fatalf("the refusal %v lacks its peer or step", a.final.Refusal)
	}
}

func inBubble(t *testing.T, o engine.Options, change func(*Config), f func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, o, change)
		defer r.close()
		f(t, r)
	})
}
