package chart

import (
	"context"
	"fmt"
	"io/fs"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"github.com/qmuntal/stateless"
)

// Guards maps the guard names of a chart to their conditions. They are evaluated
// while a trigger fires; at most one guard of a trigger's transitions may be true.
type Guards map[string]func() bool

// Chart is a validated state chart with states S and triggers T.
type Chart[S, T ~string] struct {
	f *file
}

// Load reads and validates the chart in the named file: every state must be
// reachable and handle each trigger exactly once. The file must have exactly the
// given states and triggers.
func Load[S, T ~string](fsys fs.FS, name string, states []S, triggers []T) (*Chart[S, T], error) {
	f, err := readFile(fsys, name)
	if err != nil {
		return nil, err
	}
	if err := checkNames(states, slices.Collect(maps.Keys(f.States))); err != nil {
		return nil, trace.Wrap(err, "chart %s: states", name)
	}
	if err := checkNames(triggers, f.Triggers); err != nil {
		return nil, trace.Wrap(err, "chart %s: triggers", name)
	}
	return &Chart[S, T]{f: f}, nil
}

// MustLoad is Load for charts that are embedded in the program; it panics on an error.
func MustLoad[S, T ~string](fsys fs.FS, name string, states []S, triggers []T) *Chart[S, T] {
	c, err := Load(fsys, name, states, triggers)
	if err != nil {
		panic(err)
	}
	return c
}

func checkNames[N ~string](inCode []N, inFile []string) error {
	want := make([]string, 0, len(inCode))
	for _, n := range inCode {
		want = append(want, string(n))
	}
	got := slices.Clone(inFile)
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(want, got) {
		return trace.BadParameter("the code has %v, the file %v", want, got)
	}
	return nil
}

// Final reports whether a state is marked as final; a final state has no transitions.
func (c *Chart[S, T]) Final(s S) bool {
	return c.f.States[string(s)].Final
}

// Machine is an instance of a chart with a current state. It is not safe for
// concurrent use; the caller must hold a lock.
type Machine[S, T ~string] struct {
	chart *Chart[S, T]
	sm    *stateless.StateMachine
	state S
}

// NewMachine returns a machine in the chart's initial state. A guard that the chart
// names and guards lacks is an error.
func (c *Chart[S, T]) NewMachine(guards Guards) (*Machine[S, T], error) {
	m := &Machine[S, T]{chart: c, state: S(c.f.Initial)}
	m.sm = stateless.NewStateMachineWithExternalStorage(m.get, m.set, stateless.FiringImmediate)
	for name, s := range c.f.States {
		if err := configure(m.sm.Configure(S(name)), s, guards, func(t string) any { return T(t) }, func(to string) any { return S(to) }); err != nil {
			return nil, trace.Wrap(err, "chart %s: state %s", c.f.Name, name)
		}
	}
	m.sm.OnUnhandledTrigger(m.reject)
	return m, nil
}

func configure(sc *stateless.StateConfiguration, s stateSpec, guards Guards, trigger, state func(string) any) error {
	for t, ts := range s.On {
		for _, tr := range ts {
			g, err := guardFunc(guards, tr.Guard)
			if err != nil {
				return err
			}
			if state(tr.To) == sc.State() {
				sc.PermitReentry(trigger(t), g...)
				continue
			}
			sc.Permit(trigger(t), state(tr.To), g...)
		}
	}
	for _, t := range s.Ignore {
		sc.Ignore(trigger(t))
	}
	return nil
}

func guardFunc(guards Guards, name string) ([]stateless.GuardFunc, error) {
	if name == "" {
		return nil, nil
	}
	g, ok := guards[name]
	if !ok {
		return nil, trace.NotFound("no guard %q", name)
	}
	return []stateless.GuardFunc{func(context.Context, ...any) bool { return g() }}, nil
}

// State returns the current state.
func (m *Machine[S, T]) State() S { return m.state }

// Final reports whether the current state is final.
func (m *Machine[S, T]) Final() bool { return m.chart.Final(m.state) }

// Fire applies a trigger. It returns a *RejectedError if the chart rejects the
// trigger in the current state, or if no guard of its transitions is true.
func (m *Machine[S, T]) Fire(t T) error {
	return m.sm.Fire(t)
}

func (m *Machine[S, T]) get(context.Context) (stateless.State, error) { return m.state, nil }

func (m *Machine[S, T]) set(_ context.Context, s stateless.State) error {
	m.state = s.(S)
	return nil
}

func (m *Machine[S, T]) reject(_ context.Context, s stateless.State, t stateless.Trigger, unmet []string) error {
	return &RejectedError{
		Chart:   m.chart.f.Name,
		State:   fmt.Sprint(s),
		Trigger: fmt.Sprint(t),
		Guarded: len(unmet) > 0,
	}
}

// RejectedError is the error of a trigger that is not allowed in a state.
type RejectedError struct {
	Chart, State, Trigger string
	// Guarded is true when transitions exist but none of their guards is true.
	Guarded bool
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("chart %s: trigger %s is rejected in state %s", e.Chart, e.Trigger, e.State)
}
