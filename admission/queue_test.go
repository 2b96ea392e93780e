package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryscale.example/wire"
)

func always(string) bool { return true }

// TestShares keeps several rows of a class backlogged on an engine with random slots
// and request lengths that differ from the expected ones: each row must be served in
// proportion to its share.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "shares")
		class := rapid.SampledFrom([]wire.Class{wire.ClassInteractive, wire.ClassTraining}).Draw(t, "class")
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		long := rapid.IntRange(1, 200).Draw(t, "longest")
		length := rapid.IntRange(1, long)
		lengths := rapid.SliceOfN(length, 64, 64).Draw(t, "lengths")

		q := New(Options{})
		q.SetSlots(slots)
		now := time.Unix(0, 0)
		n := 0
		push := func(row int) {
			n++
			it := &Item{Row: fmt.Sprint(row), Class: class, Share: float64(rows[row]), Tokens: lengths[n%len(lengths)], Value: row}
			if r := q.Push(now, it); r != nil {
				t.Fatal(r)
			}
		}
		total := 0
		for row, share := range rows {
			total += share
			for range 3 {
				push(row)
			}
		}
		served := make([]float64, len(rows))
		var sum float64
		var running []*Item
		for sum < float64(30*(slots+1)*long*total) {
			it, _ := q.Pop(now, always)
			if it == nil { // all slots are used: complete the oldest request
				it = running[0]
				running = running[1:]
				actual := 1 + (it.Tokens*7)%long
				q.Done(now, it, actual)
				served[it.Value.(int)] += float64(actual)
				sum += float64(actual)
				continue
			}
			running = append(running, it)
			push(it.Value.(int))
		}
		for row, share := range rows {
			want := float64(share) / float64(total)
			got := served[row] / sum
			if math.Abs(got-want) > 0.05*want {
				t.Fatalf("row %d with share %d of %d got %.4f, want %.4f within 5%%", row, share, total, got, want)
			}
		}
	})
}

// TestIdleRowGainsNoCredit: a row that was idle does not starve the others when it returns.
func TestIdleRowGainsNoCredit(t *testing.T) {
	q := New(Options{})
	q.SetSlots(1)
	now := time.Unix(0, 0)
	push := func(row string, n int) {
		for range n {
			if r := q.Push(now, &Item{Row: row, Tokens: 10}); r != nil {
				t.Fatal(r)
			}
		}
	}
	serve := func(n int) map[string]int {
		got := make(map[string]int)
		for range n {
			it, _ := q.Pop(now, always)
			got[it.Row]++
			q.Done(now, it, 10)
		}
		return got
	}
	push("busy", 300)
	serve(100)
	push("idle", 100)
	if got := serve(40); got["idle"] < 19 || got["idle"] > 21 {
		t.Fatalf("of 40 served, the returning row got %d, want half", got["idle"])
	}
}

// TestLoadCounts compares the counts of Load with plain lists under random operations.
func TestLoadCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{MaxItems: 12, Reserve: 1})
		now := time.Unix(0, 0)
		var waiting, running []*Item
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{
					Row:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row"),
					Class:  rapid.SampledFrom([]wire.Class{wire.ClassInteractive, wire.ClassTraining}).Draw(t, "class"),
					Tokens: rapid.IntRange(0, 5).Draw(t, "tokens"),
				}
				if r := q.Push(now, it); (r != nil) != (len(waiting) >= 12) {
					t.Fatalf("push with %d waiting: %v", len(waiting), r)
				} else if r == nil {
					waiting = append(waiting, it)
				}
			},
			"pop": func(t *rapid.T) {
				it, _ := q.Pop(now, always)
				if it == nil {
					return
				}
				waiting = without(t, waiting, it)
				running = append(running, it)
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				it := rapid.SampledFrom(running).Draw(t, "item")
				running = without(t, running, it)
				q.Done(now, it, rapid.IntRange(0, 9).Draw(t, "true tokens"))
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					return
				}
				it := rapid.SampledFrom(waiting).Draw(t, "item")
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("a waiting item must be removed exactly once")
				}
				waiting = without(t, waiting, it)
			},
			"slots": func(t *rapid.T) { q.SetSlots(rapid.IntRange(0, 4).Draw(t, "slots")) },
			"pass":  func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				l := q.Load()
				tokens := 0
				for _, it := range waiting {
					tokens += it.Tokens
				}
				if l.Queued != len(waiting) || l.Running != len(running) || l.QueuedTokens != tokens {
					t.Fatalf("load %+v, want %d waiting, %d running, %d tokens", l, len(waiting), len(running), tokens)
				}
			},
		})
	})
}

func without(t *rapid.T, list []*Item, it *Item) []*Item {
	for i := range list {
		if list[i] == it {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	t.Fatal("the queue returned an item that it did not hold")
	return nil
}
