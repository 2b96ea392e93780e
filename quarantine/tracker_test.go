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

// newsAllowance is within what processes may take to hear of each other's ends.
const newsAllowance = 2 * time.Second

// keepers are processes that share a stand-in store.
func keepers(t *testing.T, s *rowstore.Store, n int) []*Tracker {
	list := make([]*Tracker, n)
	for i := range list {
		list[i] = keeper(t.Context(), s)
	}
	return list
}

func keeper(ctx context.Context, s *rowstore.Store) *Tracker {
	k := New()
	k.Rows, k.Clock, k.Log, k.Counters = s.Client(), s.Now, observe.Discard(), observe.NewCounters()
	go k.Run(ctx)
	return k
}

func wantVerdict(t *testing.T, k *Tracker, s Fingerprint, want State) {
	t.Helper()
	if got, _ := k.State(s, RequestLimit); got != want {
		t.Fatalf("verdict %v, want %v", got, want)
	}
}

const subject = Fingerprint("content")

// run is one of the content that an endpoint broke off. Runs do not overlap, though
// the tests take them in at one moment.
func run(n int) BrokenRun { return BrokenRun{Fingerprint: subject, Endpoint: end(n)} }

func TestEndsAreKnownToAllProcesses(t *testing.T) {
	for name, outcomes := range map[string][]rowstore.Outcome{
		"written":         nil,
		"refused once":    {rowstore.Refused},
		"answer lost":     {rowstore.Lost},
		"lost altogether": {rowstore.Dropped, rowstore.Dropped},
		"done late":       {rowstore.Late},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := rowstore.New()
				k := keepers(t, s, 3)
				time.Sleep(time.Second)
				s.Next(outcomes...)
				k[0].ReportCrash(run(0))
				k[1].ReportCrash(run(1))
				k[1].ReportCrash(run(1)) // seen by two sends at once
				time.Sleep(newsAllowance)
				for _, each := range k {
					wantVerdict(t, each, subject, Quarantined)
				}
				wantVerdict(t, k[2], Fingerprint("another"), Clear)
			})
		})
	}
}

func TestProcessThatStartsKnowsWhatOthersHaveSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keeper(t.Context(), s)
		k.ReportCrash(run(0))
		k.ReportCrash(run(1))
		time.Sleep(newsAllowance)
		late := keeper(t.Context(), s)
		<-late.Synced()
		wantVerdict(t, late, subject, Quarantined)
	})
}

// What a process has seen and could not write yet outlives a new reading of the table.
func TestUnwrittenEndsOutliveANewReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keeper(t.Context(), s)
		time.Sleep(time.Second)
		s.Next(rowstore.Refused)
		k.ReportCrash(run(0))
		k.ReportCrash(run(1))
		k.Replace(store.Snapshot{}) // read before they stood there
		wantVerdict(t, k, subject, Quarantined)
		time.Sleep(newsAllowance)
		wantVerdict(t, k, subject, Quarantined)
	})
}

func TestAnswerClearsAContentEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keepers(t, s, 2)
		k[0].ReportCrash(run(0))
		time.Sleep(newsAllowance)
		wantVerdict(t, k[1], subject, Suspect)
		k[1].ReportServed(subject)
		time.Sleep(newsAllowance)
		wantVerdict(t, k[0], subject, Clear)
		if rows := s.Rows(Table); len(rows) != 0 {
			t.Fatalf("%d rows left", len(rows))
		}
	})
}

// Of all processes one tries a held content out, once.
func TestTrialIsClaimedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keepers(t, s, 5)
		k[0].ReportCrash(run(0))
		k[0].ReportCrash(run(1))
		time.Sleep(newsAllowance + trialPauses[0])
		claims := make(chan State, 2*len(k))
		for _, each := range k {
			for range 2 {
				go func() {
					verdict, _ := each.Admit(t.Context(), subject, RequestLimit)
					claims <- verdict
				}()
			}
		}
		tried := 0
		for range 2 * len(k) {
			if <-claims == TrialDue {
				tried++
			}
		}
		if tried != 1 {
			t.Fatalf("tried out by %d", tried)
		}
		time.Sleep(newsAllowance)
		for _, each := range k {
			wantVerdict(t, each, subject, Quarantined)
		}
	})
}

// A claim whose outcome nobody knows is no claim.
func TestTrialWithoutAnAnswerIsNotMade(t *testing.T) {
	for _, outcome := range []rowstore.Outcome{rowstore.Refused, rowstore.Lost, rowstore.Dropped, rowstore.Late} {
		synctest.Test(t, func(t *testing.T) {
			s := rowstore.New()
			k := keeper(t.Context(), s)
			k.ReportCrash(run(0))
			k.ReportCrash(run(1))
			time.Sleep(newsAllowance + trialPauses[0])
			s.Next(outcome)
			if verdict, wait := k.Admit(t.Context(), subject, RequestLimit); verdict != Quarantined || wait <= 0 {
				t.Fatalf("outcome %v: verdict %v, wait %v", outcome, verdict, wait)
			}
		})
	}
}

// While the store does not answer, whoever asks for a held content is told at once.
func TestNoTrialWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keeper(t.Context(), s)
		k.ReportCrash(run(0))
		k.ReportCrash(run(1))
		time.Sleep(newsAllowance + trialPauses[0])
		s.Slow(time.Hour)
		asked := time.Now()
		if verdict, _ := k.Admit(t.Context(), subject, RequestLimit); verdict != Quarantined {
			t.Fatalf("verdict %v", verdict)
		}
		if took := time.Since(asked); took > claimTimeout {
			t.Fatalf("told after %v", took)
		}
	})
}

func TestOldRowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keepers(t, s, 3)
		k[0].ReportCrash(run(0))
		time.Sleep(suspectMemory + 3*expiryInterval)
		if rows := s.Rows(Table); len(rows) != 0 {
			t.Fatalf("%d rows left", len(rows))
		}
		for _, each := range k {
			wantVerdict(t, each, subject, Clear)
		}
	})
}

func TestUnreadableRowsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := rowstore.New()
		k := keeper(t.Context(), s)
		for _, name := range []string{"", "x", "x/odd/1", "x/trial/-1", "x/trial/one", "x/end/", "x/end/a/b", "x/end/7/i-1"} {
			key := store.Key{Table: Table, Name: name}
			if _, err := s.Commit(t.Context(), store.Tx{Put: []store.Row{{Key: key, Value: []byte{0xff}}}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(newsAllowance)
		wantVerdict(t, k, Fingerprint("x"), Clear)
	})
}

// refusing is a prober by address.
type refusing map[string]bool

func (r refusing) Refuses(_ context.Context, addr string) bool { return r[addr] }

func TestOnlyTheEndOfAnEndpointCounts(t *testing.T) {
	k := Local(refusing{"gone:1": true}, observe.Discard(), observe.NewCounters())
	if k.ReportBroken(t.Context(), BrokenRun{Fingerprint: subject, Endpoint: end(0), Addr: "there:1"}) {
		t.Error("a lost connection counts as an end")
	}
	wantVerdict(t, k, subject, Clear)
	if !k.ReportBroken(t.Context(), BrokenRun{Fingerprint: subject, Endpoint: end(1), Addr: "gone:1"}) {
		t.Error("an end does not count")
	}
	wantVerdict(t, k, subject, Suspect)
}
