package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/observe"
)

// local are processes that tell each other by news only.
func local(n int) []*Tracker {
	list := make([]*Tracker, n)
	for i := range list {
		list[i] = Local(nil, observe.Discard(), observe.NewCounters())
	}
	return list
}

func TestNewsTellsWhatAnotherProcessSaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := local(3)
		k[0].ReportCrashAtAgent(subject, "agent-1", 0)
		time.Sleep(time.Second)
		k[0].ReportCrashAtAgent(subject, "agent-1", 0) // its endpoint was back meanwhile
		time.Sleep(3 * time.Second)
		k[1].MergeEvents(k[0].RecentEvents())
		k[1].MergeEvents(k[0].RecentEvents()) // told twice
		k[2].MergeEvents(k[1].RecentEvents()) // passed on
		for _, each := range k {
			verdict, wait := each.State(subject, RequestLimit)
			if verdict != Quarantined || wait != trialPauses[0]-3*time.Second {
				t.Errorf("verdict %v for %v", verdict, wait)
			}
		}
	})
}

// What was cleared stays cleared though a process that has not heard of it goes on
// telling what it saw before; what happens after that counts.
func TestOldNewsDoesNotUndoAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := local(2)
		k[0].ReportCrashAtAgent(subject, "agent-1", 0)
		time.Sleep(time.Second)
		k[1].MergeEvents(k[0].RecentEvents())
		k[1].ReportServed(subject)
		time.Sleep(time.Second)
		k[1].MergeEvents(k[0].RecentEvents())
		wantVerdict(t, k[1], subject, Clear)
		k[0].MergeEvents(k[1].RecentEvents())
		wantVerdict(t, k[0], subject, Clear)
		time.Sleep(time.Second)
		k[0].ReportCrashAtAgent(subject, "agent-2", 0)
		k[1].MergeEvents(k[0].RecentEvents())
		wantVerdict(t, k[1], subject, Suspect)
	})
}

func TestTrialsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := local(2)
		for i := range 2 {
			k[0].ReportCrashAtAgent(subject, "agent-1", 0)
			time.Sleep(time.Duration(i+1) * time.Second)
		}
		k[1].MergeEvents(k[0].RecentEvents())
		time.Sleep(trialPauses[0])
		if verdict, _ := k[0].Admit(t.Context(), subject, RequestLimit); verdict != TrialDue {
			t.Fatalf("verdict %v", verdict)
		}
		k[1].MergeEvents(k[0].RecentEvents())
		wantVerdict(t, k[1], subject, Quarantined)
	})
}

func TestNewsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := local(1)[0]
		for i := range 3 * maxNews {
			k.ReportCrash(BrokenRun{Fingerprint: FingerprintOf(string(rune(i))), Endpoint: fleet.Incarnation{ID: "a"}})
		}
		if n := len(k.RecentEvents()); n != maxNews {
			t.Errorf("%d pieces", n)
		}
		time.Sleep(newsTime + 1)
		if n := len(k.RecentEvents()); n != 0 {
			t.Errorf("%d old pieces", n)
		}
	})
}

func TestWhatIsForgottenCountsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := local(1)[0]
		k.ReportCrashAtAgent(subject, "agent-1", 0)
		time.Sleep(suspectMemory + time.Second)
		wantVerdict(t, k, subject, Clear)
		k.ReportCrashAtAgent(subject, "agent-1", 0)
		wantVerdict(t, k, subject, Suspect)
	})
}
