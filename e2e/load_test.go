package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/loadview"
)

// calmCrowdTime is how long the crowd asks without any fault: a fixed amount of work, of some 450
// requests, not a limit.
const calmCrowdTime = 3 * time.Second

// TestOperatorSeesTheCrowd sends the crowd without any fault, and checks that mulberryctl load
// accounts for each of its requests: it guards against counts that are lost between the gates, the
// metrics listeners and the operator.
func TestOperatorSeesTheCrowd(t *testing.T) {
	w := startSoakWith(t, 1, soakVariant{crowded: true})
	ctx, cancel := context.WithTimeout(t.Context(), calmCrowdTime)
	defer cancel()
	w.sendCrowd(ctx)
	w.record.checkRefused()
	for _, p := range w.record.problems {
		t.Error(p)
	}
	eventually(t, "each request of the crowd has ended", func() error { return w.checkLoad() })
	t.Log(w.record.summary())
}

// checkLoad compares the load that mulberryctl shows with what the crowd has sent.
func (w *soakWorld) checkLoad() error {
	load, err := w.load()
	if err != nil {
		return err
	}
	asked := map[int]uint64{}
	for _, s := range load.Services {
		if s.Name != serviceHall {
			continue
		}
		if len(s.Windows) != hallEndpoints {
			return fmt.Errorf("windows of %+v, want %d endpoints", s.Windows, hallEndpoints)
		}
		for _, c := range s.Classes {
			if ended := c.InTime + c.Late + c.RefusedTotal() + c.Failed; ended != c.Asked || c.Waiting != 0 {
				return fmt.Errorf("%d of %d requests ended, %d wait: %+v", ended, c.Asked, c.Waiting, c)
			}
			asked[c.Rank] += c.Asked
		}
	}
	for rank, n := range asked {
		if want := w.record.countOf(fmt.Sprintf("crowd rank %d asked", rank)); int(n) != want {
			return fmt.Errorf("rank %d: %d requests counted, %d sent", rank, n, want)
		}
	}
	if len(asked) != 2 {
		return fmt.Errorf("ranks %v, want two", asked)
	}
	return nil
}

// load returns the load of all entries as mulberryctl shows it.
func (w *soakWorld) load() (loadview.Load, error) {
	var addresses []string
	for _, e := range w.entries {
		addresses = append(addresses, addr(e.ip, portMetrics))
	}
	var load loadview.Load
	cmd := exec.CommandContext(w.t.Context(), filepath.Join(binDir, "mulberryctl"), "--output", "json", "load", "--interval", "0s", "--metrics", strings.Join(addresses, ","))
	out, err := cmd.Output()
	if err != nil {
		return load, fmt.Errorf("mulberryctl load: %w", err)
	}
	return load, json.Unmarshal(out, &load)
}
