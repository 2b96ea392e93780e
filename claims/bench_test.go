package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulberryscale.example/platform"
)

// slowTable counts commits, each of which takes commitTime.
type slowTable struct {
	platform.TableService
	commits atomic.Int64
}

const commitTime = 5 * time.Millisecond

func (s *slowTable) Commit(_ context.Context, writes []platform.Write) ([]platform.ETag, error) {
	s.commits.Add(1)
	time.Sleep(commitTime)
	return make([]platform.ETag, len(writes)), nil
}

// BenchmarkClaims measures the number of claims per commit, by number of concurrent claims, if a
// commit takes 5 ms.
func BenchmarkClaims(b *testing.B) {
	for _, atOnce := range []int{1, 8, 64, 256} {
		b.Run(fmt.Sprintf("at_once=%d", atOnce), func(b *testing.B) {
			table := &slowTable{}
			store := NewStore(table)
			created := 0
			for b.Loop() {
				var all sync.WaitGroup
				for i := range atOnce {
					key := fmt.Sprintf("key-%d-%d", created, i)
					all.Go(func() {
						if _, _, err := store.Create(b.Context(), "row", key, Claim{Owner: key}); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
				created += atOnce
			}
			b.ReportMetric(float64(created)/float64(table.commits.Load()), "claims/commit")
		})
	}
}
