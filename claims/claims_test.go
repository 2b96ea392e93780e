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

// stepClaims is how many scoring calls of one large step are claimed at once.
const stepClaims = 4096

// fewCommits is how many commits they may take.
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

// made counts the claims that are the caller's own.
type made struct {
	mu   sync.Mutex
	mine map[string]int
	errs []error
}

func (m *made) claim(t *testing.T, s *Store, key, owner string) {
	_, mine, err := s.Create(t.Context(), "row", key, Claim{Owner: owner})
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.errs = append(m.errs, err)
	}
	if mine {
		m.mine[key]++
	}
}

// claimAll claims n keys at once, each times over, and returns what came of it.
func claimAll(t *testing.T, s *Store, n, times int) *made {
	m := &made{mine: map[string]int{}}
	var wg sync.WaitGroup
	for i := range n {
		for j := range times {
			wg.Go(func() { m.claim(t, s, fmt.Sprint("key-", i), fmt.Sprint(i, "/", j)) })
		}
	}
	wg.Wait()
	return m
}

// inBubble gives f a table service that takes 2 ms for each call.
func inBubble(t *testing.T, f func(t *testing.T, table *countedTable, s *Store)) {
	synctest.Test(t, func(t *testing.T) {
		table := &countedTable{Service: tableservice.New(tableservice.Options{})}
		table.Slow(2 * time.Millisecond)
		f(t, table, NewStore(table))
	})
}

// TestManyClaimsTakeFewCommits claims a whole step's scoring calls at once.
func TestManyClaimsTakeFewCommits(t *testing.T) {
	inBubble(t, func(t *testing.T, table *countedTable, s *Store) {
		m := claimAll(t, s, stepClaims, 1)
		if len(m.mine) != stepClaims || len(m.errs) > 0 {
			t.Errorf("%d claims were made, errors %v", len(m.mine), m.errs)
		}
		t.Logf("%d claims took %d commits", stepClaims, table.commits.Load())
		if n := table.commits.Load(); n > fewCommits {
			t.Errorf("%d claims took %d commits", stepClaims, n)
		}
	})
}

// TestOneKeyIsClaimedOnce claims each key three times at once; two writes of
// one record must not share a transaction.
func TestOneKeyIsClaimedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *countedTable, s *Store) {
		m := claimAll(t, s, 200, 3)
		for key, n := range m.mine {
			if n != 1 {
				t.Errorf("%s was claimed %d times", key, n)
			}
		}
		if len(m.mine) != 200 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.mine), m.errs)
		}
	})
}

// TestTakenKeyFailsNoOther claims keys of which another entry has some already.
func TestTakenKeyFailsNoOther(t *testing.T) {
	inBubble(t, func(t *testing.T, table *countedTable, s *Store) {
		for i := 0; i < 200; i += 50 {
			if _, mine, err := NewStore(table).Create(t.Context(), "row", fmt.Sprint("key-", i), Claim{Owner: "other"}); !mine || err != nil {
				t.Fatal(mine, err)
			}
		}
		m := claimAll(t, s, 200, 1)
		if len(m.mine) != 196 || m.mine["key-50"] != 0 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.mine), m.errs)
		}
	})
}

// TestLostReplyOfABatch loses the replies of commits that took effect.
func TestLostReplyOfABatch(t *testing.T) {
	inBubble(t, func(t *testing.T, table *countedTable, s *Store) {
		table.LoseNextReplies(3)
		m := claimAll(t, s, 200, 1)
		if len(m.mine) != 200 || len(m.errs) > 0 {
			t.Errorf("%d keys were claimed, errors %v", len(m.mine), m.errs)
		}
	})
}

// TestGivenUpClaimIsNotWritten ends the context of a claim that waits for
// commits under way.
func TestGivenUpClaimIsNotWritten(t *testing.T) {
	inBubble(t, func(t *testing.T, table *countedTable, s *Store) {
		table.Slow(time.Second)
		for i := range maxCommits {
			go s.Create(t.Context(), "row", fmt.Sprint("busy-", i), Claim{Owner: "a"})
			synctest.Wait()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, mine, err := s.Create(ctx, "row", "late", Claim{Owner: "a"}); mine || err == nil {
			t.Errorf("got mine %v, %v", mine, err)
		}
		time.Sleep(5 * time.Second)
		if _, err := table.Get(t.Context(), RecordKey("row", "late")); err == nil {
			t.Error("a claim that was given up was written")
		}
	})
}

// TestTakeOver lets two callers take over a claim at a time: one wins.
func TestTakeOver(t *testing.T) {
	inBubble(t, func(t *testing.T, table *countedTable, s *Store) {
		old, _, err := s.Create(t.Context(), "row", "key", Claim{Owner: "a"})
		if err != nil {
			t.Fatal(err)
		}
		first, mine, err := s.TakeOver(t.Context(), "row", "key", old, Claim{Owner: "b"})
		if !mine || err != nil || first.Generation != 1 {
			t.Fatal(first, mine, err)
		}
		second, mine, err := NewStore(table).TakeOver(t.Context(), "row", "key", old, Claim{Owner: "c"})
		if mine || err != nil || second.Owner != "b" {
			t.Fatal(second, mine, err)
		}
	})
}
