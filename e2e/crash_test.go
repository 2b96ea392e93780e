package e2e

import (
	"errors"
	"syscall"
	"testing"
	"time"
)

// slowTokens makes a step of stepSamples last long enough to inject a fault.
const (
	slowTokens  = 5 * time.Millisecond
	stepSamples = 128
	midStep     = 16 // samples received when the fault is injected
)

// startSlowStep starts a deployment and a step, and waits for the first midStep samples.
func startSlowStep(t *testing.T) (*fleet, *runningStep) {
	t.Helper()
	f := startFleet(t, fleetOptions{tokenTime: slowTokens})
	step := f.startStep("1", samples("s", stepSamples, 400))
	step.awaitSamples(midStep)
	return f, step
}

func TestKilledEntryInMidStep(t *testing.T) {
	f, step := startSlowStep(t)
	f.entries[0].kill()
	step.check()
	if step.result.Sessions < 2 {
		t.Errorf("the step took %d sessions; its entry was killed", step.result.Sessions)
	}
}

func TestKilledAgentInMidStep(t *testing.T) {
	f, step := startSlowStep(t)
	f.agents[0].kill()
	f.agents[0].start()
	step.check()
	if f.retries(f.entries[0], rowTrainer) == 0 {
		t.Error("no sample was retried after the kill")
	}
}

func TestKilledEntryAndAgentInMidStep(t *testing.T) {
	f, step := startSlowStep(t)
	f.entries[0].kill()
	f.agents[1].kill()
	f.agents[1].start()
	f.entries[0].start()
	step.check()
}

// An entry that is paused for longer than the trainer's idle timeout, and resumes while
// the trainer's next session runs, delivers no sample twice.
func TestPausedEntryInMidStep(t *testing.T) {
	f, step := startSlowStep(t)
	f.entries[0].pause()
	step.awaitSamples(midStep) // further samples come through the other entry
	f.entries[0].signal(syscall.SIGCONT)
	step.check()
	if step.result.Sessions < 2 {
		t.Errorf("the step took %d sessions; its entry was paused", step.result.Sessions)
	}
}

// A paused agent's runs are retried, and what it sends after it resumes is not
// taken for another sample.
func TestPausedAgentInMidStep(t *testing.T) {
	f, step := startSlowStep(t)
	f.agents[0].pause()
	eventually(t, "a sample is retried", func() error {
		if f.retries(f.entries[0], rowTrainer) == 0 {
			return errors.New("no sample was retried")
		}
		return nil
	})
	f.agents[0].signal(syscall.SIGCONT)
	step.check()
}
