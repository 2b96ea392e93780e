package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mulberryscale.example/wire"
)

// script runs the commands of testdata/queue against one queue.
type script struct {
	q       *Queue
	now     time.Time
	running map[string]*Item
}

func TestScript(t *testing.T) {
	s := &script{}
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		return s.run(t, d)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		s.new(t, d)
	case "push":
		return s.push(t, d)
	case "pop":
		return s.pop(d)
	case "done":
		return s.done(t, d)
	case "wait":
		var seconds float64
		d.ScanArgs(t, "seconds", &seconds)
		s.now = s.now.Add(time.Duration(seconds * float64(time.Second)))
	case "load":
		return fmt.Sprintf("%+v\n", s.q.Load())
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return ""
}

func (s *script) new(t *testing.T, d *datadriven.TestData) {
	var o Options
	var slots int
	d.ScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "reserve", &o.Reserve)
	d.MaybeScanArgs(t, "max_items", &o.MaxItems)
	d.MaybeScanArgs(t, "max_bytes", &o.MaxBytes)
	s.q = New(o)
	s.q.SetSlots(slots)
	s.now = time.Unix(1000, 0)
	s.running = make(map[string]*Item)
}

// push reads lines such as "a row=r training tokens=5 budget=2".
func (s *script) push(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		it := &Item{Tokens: 1}
		var name string
		var budget float64
		for i, word := range strings.Fields(line) {
			k, v, _ := strings.Cut(word, "=")
			switch {
			case i == 0:
				name = k
			case k == "training":
				it.Class = wire.ClassTraining
			case k == "row":
				it.Row = v
			case k == "model":
				it.Model = v
			case k == "tokens":
				fmt.Sscan(v, &it.Tokens)
			case k == "share":
				fmt.Sscan(v, &it.Share)
			case k == "max":
				fmt.Sscan(v, &it.MaxQueue)
			case k == "bytes":
				fmt.Sscan(v, &it.Bytes)
			case k == "budget":
				fmt.Sscan(v, &budget)
				it.Deadline = s.now.Add(time.Duration(budget * float64(time.Second)))
			default:
				d.Fatalf(t, "unknown argument %s", word)
			}
		}
		it.Value = name
		if r := s.q.Push(s.now, it); r != nil {
			fmt.Fprintf(&out, "%s: %s not_run=%s retry_after=%s\n", name, r.Code, r.NotRun, r.RetryAfter)
		}
	}
	return out.String()
}

func (s *script) pop(d *datadriven.TestData) string {
	ready := func(model string) bool { return !d.HasArg("not-" + model) }
	var out []string
	for {
		it, expired := s.q.Pop(s.now, ready)
		for _, e := range expired {
			out = append(out, e.Value.(string)+"(expired)")
		}
		if it == nil {
			return strings.Join(out, " ") + "\n"
		}
		s.running[it.Value.(string)] = it
		out = append(out, it.Value.(string))
	}
}

func (s *script) done(t *testing.T, d *datadriven.TestData) string {
	for _, name := range strings.Fields(d.Input) {
		it, ok := s.running[name]
		if !ok {
			d.Fatalf(t, "%s is not running", name)
		}
		delete(s.running, name)
		s.q.Done(s.now, it, it.Tokens)
	}
	return s.pop(d)
}
