package agent

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/memtransport"
)

var errListener = errors.New("address no longer usable")

// failingListener stops serving with an error of its own.
type failingListener struct{ transport.Listener }

func (failingListener) Serve(context.Context, transport.Handler) error { return errListener }

// TestListenerErrorEndsTheAgent guards against an agent that cannot listen and looks alive: Run
// must return the listener's error with the agent and its address.
func TestListenerErrorEndsTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memtransport.NewNetwork()
		l, err := net.Listen(agentID, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		a, err := New(Config{
			ID: agentID, Zone: "z1", Listener: failingListener{l}, Dialer: net.Dialer(agentID), Seed: 1,
			Engine: engine.New(engine.Options{Models: map[string]uint64{model: 3}}),
		})
		if err != nil {
			t.Fatal(err)
		}
		err = a.Run(t.Context())
		if !errors.Is(err, errListener) || !strings.Contains(err.Error(), agentID) || !strings.Contains(err.Error(), l.Addr()) {
			t.Errorf("got %v", err)
		}
	})
}
