package admission

import (
	"fmt"
	"testing"
	"time"

	"mulberryscale.example/wire"
)

// BenchmarkQueue measures one push, pop and done, by the number of waiting requests,
// which belong to nine trainers and three interactive rows.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{16, 64, 256, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			const rows, trainers = 12, 9
			q := New(Options{})
			q.SetSlots(1)
			now := time.Unix(1000, 0)
			next := 0
			push := func() {
				it := &Item{Row: fmt.Sprintf("row-%d", next%rows), Model: "guide", Share: 1, Tokens: 100 + next%700}
				if next%rows < trainers {
					it.Class = wire.ClassTraining
				}
				next++
				if refusal := q.Push(now, it); refusal != nil {
					b.Fatal(refusal)
				}
			}
			for range waiting {
				push()
			}
			ready := func(string) bool { return true }
			for b.Loop() {
				push()
				it, _ := q.Pop(now, ready)
				q.Done(now, it, it.Tokens)
			}
		})
	}
}
