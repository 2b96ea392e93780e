package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"mulberryscale.example/api"
)

// Exit statuses of mulberryctl.
const (
	exitDone   = 0
	exitFailed = 1
)

// applyResult is the exit status and output of a mulberryctl apply.
type applyResult struct {
	status         int
	stdout, stderr string
}

// Two operators apply different edits of the same version concurrently: one succeeds,
// the other gets the three-way difference, and the winner's version takes effect on
// every process.
func TestTwoOperatorsRace(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	shares := strings.Replace(tableText, "guide,4,", "guide,5,", 1)
	queues := strings.Replace(tableText, ",100,30s", ",90,30s", 1)
	results := f.applyAtOnce(shares, queues)
	winner, loser := results[0], results[1]
	if winner.status != exitDone {
		winner, loser = loser, winner
	}
	if winner.status != exitDone || loser.status != exitFailed {
		t.Fatalf("want one winner, got %+v", results)
	}
	if !strings.Contains(winner.stdout, "version 2") {
		t.Errorf("the winner printed %q", winner.stdout)
	}
	for _, want := range []string{"mine", "theirs", rowLookups, rowBookings} {
		if !strings.Contains(loser.stdout, want) {
			t.Errorf("the loser's difference does not name %q:\n%s", want, loser.stdout)
		}
	}
	f.awaitInForce(2)
}

// applyAtOnce applies each text to version 1, concurrently.
func (f *fleet) applyAtOnce(texts ...string) []applyResult {
	f.t.Helper()
	cmds := make([]*exec.Cmd, len(texts))
	stdouts, stderrs := make([]bytes.Buffer, len(texts)), make([]bytes.Buffer, len(texts))
	for i, text := range texts {
		path := f.file(fmt.Sprintf("operator-%d.csv", i))
		if err := os.WriteFile(path, []byte("# mulberryscale table version 1\n"+text), 0o600); err != nil {
			f.t.Fatal(err)
		}
		cmds[i] = f.ctl("apply", "--yes", "--author", fmt.Sprintf("operator-%d", i), path)
		cmds[i].Stdout, cmds[i].Stderr = &stdouts[i], &stderrs[i]
		if err := cmds[i].Start(); err != nil {
			f.t.Fatal(err)
		}
	}
	results := make([]applyResult, len(texts))
	for i, cmd := range cmds {
		cmd.Wait() // the status is read below
		results[i] = applyResult{cmd.ProcessState.ExitCode(), stdouts[i].String(), stderrs[i].String()}
	}
	return results
}

// fleetStatus is the JSON of mulberryctl status.
type fleetStatus struct {
	Newest    uint64 `json:"newest"`
	Lagging   int    `json:"lagging"`
	Processes []struct {
		api.ProcessStatus
		Lags bool `json:"lags"`
	} `json:"processes"`
}

// awaitInForce waits until mulberryctl status names every entry and agent and
// shows the version in force at each.
func (f *fleet) awaitInForce(version uint64) {
	f.t.Helper()
	var admins []string
	for _, e := range f.entries {
		admins = append(admins, e.admin)
	}
	eventually(f.t, fmt.Sprintf("version %d in force everywhere", version), func() error {
		cmd := f.ctl("--output", "json", "status", "--operators", strings.Join(admins, ","))
		cmd.Env = append(os.Environ(), "MULBERRY_ADMIN_TOKEN="+adminToken)
		out, err := cmd.Output()
		if err != nil {
			return err
		}
		var status fleetStatus
		if err := json.Unmarshal(out, &status); err != nil {
			return err
		}
		if status.Lagging > 0 || status.Newest != version || len(status.Processes) != len(f.entries)+len(f.agents) {
			return errors.New(string(out))
		}
		return nil
	})
}
