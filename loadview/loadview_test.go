package loadview

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"mulberryscale.example/fleet"
	"mulberryscale.example/flowcontrol"
)

// script runs the commands of testdata/load: documents of processes, and requests of one account.
type script struct {
	documents map[string]Document
	order     []string
	account   *Account
	open      map[string]*Request
	admitted  map[string]func()
}

func TestScript(t *testing.T) {
	s := &script{documents: map[string]Document{}, account: NewAccount(), open: map[string]*Request{}, admitted: map[string]func(){}}
	datadriven.RunTest(t, "testdata/load", func(t *testing.T, d *datadriven.TestData) string {
		return s.run(t, d)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "document":
		return s.document(d)
	case "merge":
		var list []Document
		for _, name := range s.order {
			list = append(list, s.documents[name])
		}
		return text(t, Merge(list))
	case "since":
		var now, former string
		d.ScanArgs(t, "now", &now)
		d.ScanArgs(t, "former", &former)
		return text(t, Merge([]Document{s.documents[now].Since(s.documents[former])}))
	case "requests":
		return s.requests(t, d)
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (s *script) document(d *datadriven.TestData) string {
	var doc Document
	if err := json.Unmarshal([]byte(d.Input), &doc); err != nil {
		return err.Error()
	}
	name := d.CmdArgs[0].Key
	s.documents[name] = doc
	s.order = append(s.order, name)
	return ""
}

// requests runs lines such as "r1 begin 0 guthi", and prints the service.
func (s *script) requests(t *testing.T, d *datadriven.TestData) string {
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		r := s.open[f[0]]
		switch f[1] {
		case "begin":
			key := ClassKey{Organisation: f[3]}
			if _, err := fmt.Sscan(f[2], &key.Rank); err != nil {
				t.Fatal(err)
			}
			s.open[f[0]] = s.account.Begin("desk", key)
		case "wait":
			s.admitted[f[0]] = r.Wait()
		case "admitted":
			s.admitted[f[0]]()
		case "answered":
			r.Answered(f[2] == "in_time")
		case "refused":
			r.Refused(f[2])
		case "failed":
			r.Failed()
		default:
			d.Fatalf(t, "unknown event %s", f[1])
		}
	}
	gate := flowcontrol.Status{Open: 1, Windows: []flowcontrol.WindowStatus{{Endpoint: fleet.Incarnation{ID: "i-1"}, Limit: 2.5, Open: 1}}}
	return text(t, Load{Services: []Service{ServiceOf("desk", gate, s.account.Classes("desk"))}})
}

func text(t *testing.T, l Load) string {
	t.Helper()
	var b strings.Builder
	if err := l.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Guards against unbounded memory when more classes are counted than the bound.
func TestClassesAreBounded(t *testing.T) {
	a := NewAccount()
	for i := range maxClasses + 10 {
		a.Begin("desk", ClassKey{Organisation: fmt.Sprint(i)}).Failed()
	}
	classes := a.Classes("desk")
	if len(classes) != maxClasses+1 || classes[0].ClassKey != otherClass || classes[0].Failed != 10 {
		t.Errorf("%d classes, the first is %+v", len(classes), classes[0])
	}
}

// Guards against a panic in processes that count nothing.
func TestNilAccountCountsNothing(t *testing.T) {
	var a *Account
	r := a.Begin("desk", ClassKey{})
	r.Wait()()
	r.Answered(true)
	if a.Classes("desk") != nil {
		t.Error("a nil account has classes")
	}
}
