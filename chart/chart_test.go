package chart

import (
	"errors"
	"strings"
	"testing"
	"testing/fstest"
)

type state string
type trigger string

const door = `
name: door
initial: shut
triggers: [open, close, lock]
states:
  shut:
    on:
      open: ajar
      lock: [{to: locked, guard: has_key}]
    ignore: [close]
  ajar:
    on: {close: shut}
    ignore: [open]
    reject: [lock]
  locked:
    final: true
    reject: [open, close, lock]
`

var (
	states   = []state{"shut", "ajar", "locked"}
	triggers = []trigger{"open", "close", "lock"}
)

func load(text string) (*Chart[state, trigger], error) {
	return Load(fstest.MapFS{"c.yaml": {Data: []byte(text)}}, "c.yaml", states, triggers)
}

func TestMachine(t *testing.T) {
	c, err := load(door)
	if err != nil {
		t.Fatal(err)
	}
	key := false
	m, err := c.NewMachine(Guards{"has_key": func() bool { return key }})
	if err != nil {
		t.Fatal(err)
	}
	fire := func(tr trigger, want state, rejected bool) {
		t.Helper()
		var rej *RejectedError
		err := m.Fire(tr)
		if errors.As(err, &rej) != rejected || (err != nil) != rejected {
			t.Fatalf("%s: error %v, want rejected %v", tr, err, rejected)
		}
		if m.State() != want {
			t.Fatalf("%s: state is %s, want %s", tr, m.State(), want)
		}
	}
	fire("open", "ajar", false)
	fire("open", "ajar", false)
	fire("lock", "ajar", true)
	fire("close", "shut", false)
	fire("lock", "shut", true)
	key = true
	fire("lock", "locked", false)
	if !m.Final() {
		t.Fatal("locked is not final")
	}
	fire("open", "locked", true)
}

func TestMissingGuard(t *testing.T) {
	c, err := load(door)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.NewMachine(nil); err == nil {
		t.Fatal("a machine was created without a guard that its chart names")
	}
}

func TestLoadRefuses(t *testing.T) {
	for name, change := range map[string][2]string{
		"forgotten trigger":  {"    ignore: [open]\n", ""},
		"trigger twice":      {"ignore: [close]", "ignore: [close, open]"},
		"unknown trigger":    {"ignore: [close]", "ignore: [close, kick]"},
		"unknown state":      {"open: ajar", "open: agape"},
		"unreachable state":  {"lock: [{to: locked, guard: has_key}]", "lock: shut"},
		"final with exits":   {"locked:\n    final: true\n    reject: [open, close, lock]", "locked:\n    final: true\n    on: {open: ajar}\n    reject: [close, lock]"},
		"unknown field":      {"initial: shut", "initial: shut\nstart: shut"},
		"unguarded one of 2": {"open: ajar", "open: [{to: ajar}, {to: locked, guard: has_key}]"},
		"state not in code":  {"open: ajar", "open: other"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(door, change[0], change[1], 1)
			if text == door {
				t.Fatal("the change did not apply")
			}
			if _, err := load(text); err == nil {
				t.Fatal("the chart was accepted")
			}
		})
	}
}
