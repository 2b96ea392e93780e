package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// localTrackers returns the trackers of processes that share events by gossip only.
func localTrackers(n int) []*Tracker {
	list := make([]*Tracker, n)
	for i := range list {
		list[i] = Local(nil, observe.Discard(), observe.NewCounters())
	}
	return list
}

func TestGossipSpreadsCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := localTrackers(3)
		trackers[0].ReportCrashAtAgent(content, "agent-1", 0)
		time.Sleep(time.Second)
		trackers[0].ReportCrashAtAgent(content, "agent-1", 0) // the endpoint had restarted meanwhile
		time.Sleep(3 * time.Second)
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		trackers[1].MergeEvents(trackers[0].RecentEvents()) // received twice
		trackers[2].MergeEvents(trackers[1].RecentEvents()) // passed on
		for _, each := range trackers {
			state, wait := each.State(content)
			if state != Quarantined || wait != trialDelays[0]-3*time.Second {
				t.Errorf("state %v for %v", state, wait)
			}
		}
	})
}

// A cleared content stays cleared although a process that does not know of it goes on gossiping
// its older crash; a later crash counts.
func TestStaleGossipDoesNotUndoAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := localTrackers(2)
		trackers[0].ReportCrashAtAgent(content, "agent-1", 0)
		time.Sleep(time.Second)
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		trackers[1].ReportServed(content)
		time.Sleep(time.Second)
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		wantState(t, trackers[1], content, Clear)
		trackers[0].MergeEvents(trackers[1].RecentEvents())
		wantState(t, trackers[0], content, Clear)
		time.Sleep(time.Second)
		trackers[0].ReportCrashAtAgent(content, "agent-2", 0)
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		wantState(t, trackers[1], content, Suspect)
	})
}

func TestGossipSpreadsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := localTrackers(2)
		for i := range 2 {
			trackers[0].ReportCrashAtAgent(content, "agent-1", 0)
			time.Sleep(time.Duration(i+1) * time.Second)
		}
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		time.Sleep(trialDelays[0])
		if state, _ := trackers[0].Admit(t.Context(), content); state != TrialDue {
			t.Fatalf("state %v", state)
		}
		trackers[1].MergeEvents(trackers[0].RecentEvents())
		wantState(t, trackers[1], content, Quarantined)
	})
}

func TestGossipIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := localTrackers(1)[0]
		for i := range 3 * maxGossip {
			tracker.ReportCrash(BrokenRun{Fingerprint: FingerprintOf(string(rune(i))), Endpoint: fleet.Incarnation{ID: "a"}})
		}
		if n := len(tracker.RecentEvents()); n != maxGossip {
			t.Errorf("%d events", n)
		}
		time.Sleep(gossipTTL + 1)
		if n := len(tracker.RecentEvents()); n != 0 {
			t.Errorf("%d expired events", n)
		}
	})
}

func TestExpiredCrashesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := localTrackers(1)[0]
		tracker.ReportCrashAtAgent(content, "agent-1", 0)
		time.Sleep(suspectTTL + time.Second)
		wantState(t, tracker, content, Clear)
		tracker.ReportCrashAtAgent(content, "agent-1", 0)
		wantState(t, tracker, content, Suspect)
	})
}
