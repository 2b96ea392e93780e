package node

import (
	"testing"

	"mulberryscale.example/platform/nodefile"
)

// TestGatesFollowTheSettings checks that an entry's services have gates if the platform's settings ask
// for them, and that the reward calls of agents never do: package background limits these already.
func TestGatesFollowTheSettings(t *testing.T) {
	for _, pressure := range []bool{false, true} {
		settings := &nodefile.Settings{Node: "n", Zone: "z", RowBytes: 4096, Pressure: pressure}
		options := Options{LogLevel: "error"}
		entry, err := NewEntry(settings, options)
		if err != nil {
			t.Fatal(err)
		}
		if got := entry.forwarder.Gates.Has("desk"); got != pressure {
			t.Errorf("with pressure %t the entry has a gate: %t", pressure, got)
		}
		agent, err := NewAgent(settings, options)
		if err != nil {
			t.Fatal(err)
		}
		if agent.rewards.Forward.Gates != nil {
			t.Errorf("with pressure %t the agent has gates", pressure)
		}
	}
}
