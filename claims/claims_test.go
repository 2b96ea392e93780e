package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/platform"
)

// stepClaims is the number of scoring calls of a large step, claimed concurrently.
const stepClaims = 4096

// fewCommits is the maximum number of commits for stepClaims concurrent claims.
const fewCommits = 64

// countedTable counts commits.
type countedTable struct {
	*tableservice.Service
	commits atomic.Int64
}

func (c *countedTable) Commit(ctx context.Context, writes []platform.Write) ([]platform.ETag, error) {
	c.commits.Add(1)
	return c.Service.Commit(ctx, writes)
}

// claimResults collects the errors and the number of owned claims by key.
type claimResults struct {
	mu    sync.Mutex
	owned map[string]int
	errs  []error
}

func (m *claimResults) claim(t *testing.T, s *Store, key, owner string) {
	_, owned, err := s.Create(t.Context(), "row", key, Claim{Owner: owner})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.errs = append(m.errs, err)
	}
	if owned {
		m.owned[key]++
	}
}

// claimAll claims n keys concurrently, each of them the given number of times.
func claimAll(t *testing.T, s *Store, n, times int) *claimResults {
	m := &claimResults{owned: map[string]int{}}
	var wg sync.WaitGroup
	for i := range n {
		for j := range times {
			wg.Go(func() { m.claim(t, s, fmt.Sprint("key-", i), fmt.Sprint(i, "/", j)) })
		}
	}
	wg.Wait()
	return m
}

// withFakeTime runs f in a synctest bubble, with a table service that takes 2 ms per call.
func withFakeTime(t *testing.T, f func(t *testing.T, table *countedTable, s *Store)) {
	synctest.Test(t, func(t *testing.T) {
		table := &countedTable{Service: tableservice.New(tableservice.Options{})}
		table.Slow(2 * time.Millisecond)
		f(t, table, NewStore(table))
	})
}

// TestManyClaimsTakeFewCommits claims all scoring calls of a large step concurrently.
func TestManyClaimsTakeFewCommits(t *testing.T) {
	withFakeTime(t, func(t *testing.T, table *countedTable, s *Store) {
		m := claimAll(t, s, stepClaims, 1)
		if len(m.owned) != stepClaims || len(m.errs) > 0 {
			t.Errorf("%d claims were made, errors %v", len(m.owned), m.errs)
		}
		t.Logf("%d claims took %d commits", stepClaims, table.commits.Load())
		if n := table.commits.Load(); n > fewCommits {
			t.Errorf("%d claims took %d commits", stepClaims, n)
		}
	})
}

// TestOneKeyIsClaimedOnce claims each key three times concurrently. Two writes of one record must
// not be in the same transaction, where both would succeed.
func TestOneKeyIsClaimedOnce(t *testing.T) {
	withFakeTime(t, func(t *testing.T, _ *countedTable, s *Store) {
		m := claimAll(t, s, 200, 3)
		for key, n := range m.owned {
			if n != 1 {
				t.Errorf("%s was claimed %d times", key, n)
			}
		}
		if len(m.owned) != 200 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.owned), m.errs)
		}
	})
}

// TestTakenKeyDoesNotFailOtherClaims claims keys of which another entry has claimed some before:
// only the claims of those must fail.
func TestTakenKeyDoesNotFailOtherClaims(t *testing.T) {
	withFakeTime(t, func(t *testing.T, table *countedTable, s *Store) {
		for i := 0; i < 200; i += 50 {
			if _, owned, err := NewStore(table).Create(t.Context(), "row", fmt.Sprint("key-", i), Claim{Owner: "other"}); !owned || err != nil {
				t.Fatal(owned, err)
			}
		}
		m := claimAll(t, s, 200, 1)
		if len(m.owned) != 196 || m.owned["key-50"] != 0 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.owned), m.errs)
		}
	})
}

// TestLostReplyOfABatch loses the replies of commits that took effect: the claims must be owned
// after the read-back.
func TestLostReplyOfABatch(t *testing.T) {
	withFakeTime(t, func(t *testing.T, table *countedTable, s *Store) {
		table.LoseNextReplies(3)
		m := claimAll(t, s, 200, 1)
		if len(m.owned) != 200 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.owned), m.errs)
		}
	})
}

// TestCancelledClaimIsNotWritten lets the context of a claim expire that waits for commits in
// flight.
func TestCancelledClaimIsNotWritten(t *testing.T) {
	withFakeTime(t, func(t *testing.T, table *countedTable, s *Store) {
		table.Slow(time.Second)
		for i := range maxCommits {
			go s.Create(t.Context(), "row", fmt.Sprint("busy-", i), Claim{Owner: "a"})
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, owned, err := s.Create(ctx, "row", "late", Claim{Owner: "a"}); owned || err == nil {
			t.Errorf("got owned %v, %v", owned, err)
		}
		time.Sleep(5 * time.Second)
		if _, err := table.Get(t.Context(), RecordKey("row", "late")); err == nil {
			t.Error("a cancelled claim was written")
		}
	})
}

// TestTakeOver lets two callers take over the same claim: only one must succeed.
func TestTakeOver(t *testing.T) {
	withFakeTime(t, func(t *testing.T, table *countedTable, s *Store) {
		old, _, err := s.Create(t.Context(), "row", "key", Claim{Owner: "a"})
		if err != nil {
			t.Fatal(err)
		}
		first, owned, err := s.TakeOver(t.Context(), "row", "key", old, Claim{Owner: "b"})
		if !owned || err != nil || first.Generation != 1 {
			t.Fatal(first, owned, err)
		}
		second, owned, err := NewStore(table).TakeOver(t.Context(), "row", "key", old, Claim{Owner: "c"})
		if owned || err != nil || second.Owner != "b" {
			t.Fatal(second, owned, err)
		}
	})
}
