package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/observe"
	"mulberryscale.example/store"
)

// propagationTime is enough for every process to learn of another's crashes.
const propagationTime = 2 * time.Second

// startTrackers starts trackers that share a stand-in store.
func startTrackers(t *testing.T, s *rowstore.Store, n int) []*Tracker {
	list := make([]*Tracker, n)
	for i := range list {
		list[i] = startTracker(t.Context(), s)
	}
	return list
}

func startTracker(ctx context.Context, s *rowstore.Store) *Tracker {
	tracker := New()
	tracker.Rows, tracker.Clock, tracker.Log, tracker.Counters = s.Client(), s.Now, observe.Discard(), observe.NewCounters()
	go tracker.Run(ctx)
	return tracker
}

func wantState(t *testing.T, tracker *Tracker, fp Fingerprint, want State) {
	t.Helper()
	if got, _ := tracker.State(fp); got != want {
		t.Fatalf("state %v, want %v", got, want)
	}
}

const content = Fingerprint("content")

// brokenRun returns the run of the content at endpoint n, broken off by its crash. Runs do not
// overlap, though the tests report them at the same time.
func brokenRun(n int) BrokenRun { return BrokenRun{Fingerprint: content, Endpoint: incarnation(n)} }

func TestCrashesAreKnownToAllProcesses(t *testing.T) {
	for name, outcomes := range map[string][]rowstore.Outcome{
		"written":            nil,
		"refused once":       {rowstore.Refused},
		"answer lost":        {rowstore.ReplyLost},
		"request lost twice": {rowstore.RequestLost, rowstore.RequestLost},
		"applied late":       {rowstore.Late},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := rowstore.New()
				trackers := startTrackers(t, s, 3)
				time.Sleep(time.Second)
				s.QueueOutcomes(outcomes...)
				trackers[0].ReportCrash(brokenRun(0))
				trackers[1].ReportCrash(brokenRun(1))
				trackers[1].ReportCrash(brokenRun(1)) // noticed by two sends at once
				time.Sleep(propagationTime)
				for _, each := range trackers {
					wantState(t, each, content, Quarantined)
				}
				wantState(t, trackers[2], Fingerprint("another"), Clear)
			})
		})
	}
}

func TestProcessThatStartsKnowsWhatOthersHaveSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		tracker := startTracker(t.Context(), s)
		tracker.ReportCrash(brokenRun(0))
		tracker.ReportCrash(brokenRun(1))
		time.Sleep(propagationTime)
		late := startTracker(t.Context(), s)
		<-late.Synced()
		wantState(t, late, content, Quarantined)
	})
}

// Crashes that a process could not write yet are kept when it reads the table anew.
func TestUnwrittenCrashesAreKeptAfterReread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		tracker := startTracker(t.Context(), s)
		time.Sleep(time.Second)
		s.QueueOutcomes(rowstore.Refused)
		tracker.ReportCrash(brokenRun(0))
		tracker.ReportCrash(brokenRun(1))
		tracker.Replace(store.Snapshot{}) // read before they were written
		wantState(t, tracker, content, Quarantined)
		time.Sleep(propagationTime)
		wantState(t, tracker, content, Quarantined)
	})
}

func TestAnswerClearsAContentEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		trackers := startTrackers(t, s, 2)
		trackers[0].ReportCrash(brokenRun(0))
		time.Sleep(propagationTime)
		wantState(t, trackers[1], content, Suspect)
		trackers[1].ReportServed(content)
		time.Sleep(propagationTime)
		wantState(t, trackers[0], content, Clear)
		if rows := s.Rows(Table); len(rows) != 0 {
			t.Fatalf("%d rows left", len(rows))
		}
	})
}

// A quarantined content gets one trial from all processes together.
func TestTrialIsClaimedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		trackers := startTrackers(t, s, 5)
		trackers[0].ReportCrash(brokenRun(0))
		trackers[0].ReportCrash(brokenRun(1))
		time.Sleep(propagationTime + trialDelays[0])
		claims := make(chan State, 2*len(trackers))
		for _, each := range trackers {
			for range 2 {
				go func() {
					state, _ := each.Admit(t.Context(), content)
					claims <- state
				}()
			}
		}
		trials := 0
		for range 2 * len(trackers) {
			if <-claims == TrialDue {
				trials++
			}
		}
		if trials != 1 {
			t.Fatalf("%d trials", trials)
		}
		time.Sleep(propagationTime)
		for _, each := range trackers {
			wantState(t, each, content, Quarantined)
		}
	})
}

// A claim with an unknown outcome does not count as won.
func TestTrialWithUnknownClaimOutcomeIsNotMade(t *testing.T) {
	for _, outcome := range []rowstore.Outcome{rowstore.Refused, rowstore.ReplyLost, rowstore.RequestLost, rowstore.Late} {
		synctest.Test(t, func(t *testing.T) {
			s := rowstore.New()
			tracker := startTracker(t.Context(), s)
			tracker.ReportCrash(brokenRun(0))
			tracker.ReportCrash(brokenRun(1))
			time.Sleep(propagationTime + trialDelays[0])
			s.QueueOutcomes(outcome)
			if state, wait := tracker.Admit(t.Context(), content); state != Quarantined || wait <= 0 {
				t.Fatalf("outcome %v: state %v, wait %v", outcome, state, wait)
			}
		})
	}
}

// While the store does not answer, requests of a quarantined content are refused at once.
func TestNoTrialDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		tracker := startTracker(t.Context(), s)
		tracker.ReportCrash(brokenRun(0))
		tracker.ReportCrash(brokenRun(1))
		time.Sleep(propagationTime + trialDelays[0])
		s.Slow(time.Hour)
		asked := time.Now()
		if state, _ := tracker.Admit(t.Context(), content); state != Quarantined {
			t.Fatalf("state %v", state)
		}
		if took := time.Since(asked); took > claimTimeout {
			t.Fatalf("refused after %v", took)
		}
	})
}

func TestOldRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		trackers := startTrackers(t, s, 3)
		trackers[0].ReportCrash(brokenRun(0))
		time.Sleep(suspectTTL + 3*expiryInterval)
		if rows := s.Rows(Table); len(rows) != 0 {
			t.Fatalf("%d rows left", len(rows))
		}
		for _, each := range trackers {
			wantState(t, each, content, Clear)
		}
	})
}

func TestUnreadableRowsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		tracker := startTracker(t.Context(), s)
		for _, name := range []string{"", "x", "x/odd/1", "x/trial/-1", "x/trial/one", "x/end/", "x/end/a/b", "x/end/7/i-1"} {
			key := store.Key{Table: Table, Name: name}
			if _, err := s.Commit(t.Context(), store.Tx{Put: []store.Row{{Key: key, Value: []byte{0xff}}}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(propagationTime)
		wantState(t, tracker, Fingerprint("x"), Clear)
	})
}

// refusing is a Prober that says which addresses refuse connections.
type refusing map[string]bool

func (r refusing) Refuses(_ context.Context, addr string) bool { return r[addr] }

func TestOnlyEndpointCrashesCount(t *testing.T) {
	tracker := Local(refusing{"gone:1": true}, observe.Discard(), observe.NewCounters())
	if tracker.ReportBroken(t.Context(), BrokenRun{Fingerprint: content, Endpoint: incarnation(0), Addr: "there:1"}) {
		t.Error("a lost connection counts as a crash")
	}
	wantState(t, tracker, content, Clear)
	if !tracker.ReportBroken(t.Context(), BrokenRun{Fingerprint: content, Endpoint: incarnation(1), Addr: "gone:1"}) {
		t.Error("a crash does not count")
	}
	wantState(t, tracker, content, Suspect)
}
