package e2e

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
	"mulberryscale.example/wire"
)

// peerKeys returns the keys of a third entry, which the test acts as.
func (f *fleet) peerKeys() keys.Source {
	f.t.Helper()
	source, err := f.authority.Source("entry-3")
	if err != nil {
		f.t.Fatal(err)
	}
	return source
}

// openRun sends a run to an agent and returns its stream after the first chunk.
func (f *fleet) openRun(source keys.Source, agent *node) transport.Stream {
	f.t.Helper()
	dialer := quictransport.NewDialer(source)
	f.t.Cleanup(func() { dialer.Close() })
	s, err := dialer.Open(f.t.Context(), agent.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	run := &wire.Run{RunID: "r", Row: rowLookups, Budget: time.Minute,
		Generate: &wire.Generate{Model: model, Prompt: "p", MaxTokens: 400}}
	var reply wire.Reply
	if err := errors.Join(s.Send(&wire.Request{Run: run}), s.Recv(&reply)); err != nil || reply.Chunk == nil {
		f.t.Fatalf("got %+v, %v, want a chunk", reply, err)
	}
	return s
}

// An agent that gets SIGTERM in the middle of a stream completes the stream and exits
// with status 0.
func TestSIGTERMCutsNothingOff(t *testing.T) {
	f := startFleet(t, fleetOptions{tokenTime: 20 * time.Millisecond})
	agent := f.agents[0]
	s := f.openRun(f.peerKeys(), agent)
	agent.signal(syscall.SIGTERM)
	var reply wire.Reply
	for reply.Done == nil {
		reply = wire.Reply{}
		if err := s.Recv(&reply); err != nil {
			t.Fatalf("the stream was aborted: %v", err)
		}
		if reply.Refusal != nil {
			t.Fatal(reply.Refusal)
		}
	}
	if reply.Done.Text == "" || reply.Done.FinishReason == "" {
		t.Fatalf("got %+v", reply.Done)
	}
	s.Close()
	if err := agent.awaitExit(); err != nil {
		t.Fatal(err)
	}
}

// A stopping agent closes its connections at once, so that peers don't wait for their
// idle timeout before they connect to the next incarnation.
func TestStopClosesConnections(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	source, agent := f.peerKeys(), f.agents[0]
	f.openRun(source, agent).Close()
	conn := openConnection(t, source, agent.addr)
	agent.signal(syscall.SIGTERM)
	<-conn.Context().Done()
	var closed *quic.ApplicationError
	if cause := context.Cause(conn.Context()); !errors.As(cause, &closed) {
		t.Fatalf("the connection was closed with %v, want a close by the agent", cause)
	}
}

// openConnection returns a connection that the agent is serving.
func openConnection(t *testing.T, source keys.Source, addr string) *quic.Conn {
	t.Helper()
	conn, err := quic.DialAddr(t.Context(), addr, source.ClientConfig(), &quic.Config{KeepAlivePeriod: quictransport.KeepAlive})
	if err != nil {
		t.Fatal(err)
	}
	s, err := conn.OpenStreamSync(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	// The agent closes the stream because it has no request.
	_, _ = io.ReadAll(s)
	return conn
}
