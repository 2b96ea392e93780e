package chart

import (
	"bytes"
	"io/fs"
	"slices"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// file is the decoded YAML file of a chart.
type file struct {
	Name     string               `yaml:"name"`
	Initial  string               `yaml:"initial"`
	Triggers []string             `yaml:"triggers"`
	States   map[string]stateSpec `yaml:"states"`
}

type stateSpec struct {
	On     map[string]transitions `yaml:"on"`
	Ignore []string               `yaml:"ignore"`
	Reject []string               `yaml:"reject"`
	Final  bool                   `yaml:"final"`
}

// transition leads to a state if its guard is true or it has none.
type transition struct {
	To    string `yaml:"to"`
	Guard string `yaml:"guard"`
}

// transitions is, in YAML, the name of a state or a list of guarded transitions.
type transitions []transition

// UnmarshalYAML implements yaml.Unmarshaler.
func (ts *transitions) UnmarshalYAML(n *yaml.Node) error {
	if n.Kind == yaml.ScalarNode {
		*ts = transitions{{To: n.Value}}
		return nil
	}
	var list []transition
	if err := n.Decode(&list); err != nil {
		return err
	}
	*ts = list
	return nil
}

func readFile(fsys fs.FS, name string) (*file, error) {
	body, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, trace.Wrap(err, "chart %s: read", name)
	}
	dec := yaml.NewDecoder(bytes.NewReader(body))
	dec.KnownFields(true)
	var f file
	if err := dec.Decode(&f); err != nil {
		return nil, trace.Wrap(err, "chart %s: parse", name)
	}
	if err := f.check(); err != nil {
		return nil, trace.Wrap(err, "chart %s: check", name)
	}
	return &f, nil
}

// check validates the chart and returns all errors found as one.
func (f *file) check() error {
	var errs []error
	if _, ok := f.States[f.Initial]; !ok {
		errs = append(errs, trace.BadParameter("initial state %q is not a state", f.Initial))
	}
	for name, s := range f.States {
		errs = append(errs, f.checkState(name, s)...)
	}
	for _, name := range f.unreachable() {
		errs = append(errs, trace.BadParameter("state %q cannot be reached", name))
	}
	return trace.NewAggregate(errs...)
}

func (f *file) checkState(name string, s stateSpec) []error {
	var errs []error
	if s.Final && len(s.On) > 0 {
		errs = append(errs, trace.BadParameter("final state %q has transitions", name))
	}
	for _, t := range f.Triggers {
		if n := s.countReactions(t); n != 1 {
			errs = append(errs, trace.BadParameter("state %q handles trigger %q %d times, want once", name, t, n))
		}
	}
	for t, ts := range s.On {
		if !slices.Contains(f.Triggers, t) {
			errs = append(errs, trace.BadParameter("state %q has the unknown trigger %q", name, t))
		}
		errs = append(errs, f.checkTransitions(name, t, ts)...)
	}
	for _, t := range slices.Concat(s.Ignore, s.Reject) {
		if !slices.Contains(f.Triggers, t) {
			errs = append(errs, trace.BadParameter("state %q has the unknown trigger %q", name, t))
		}
	}
	return errs
}

func (f *file) checkTransitions(state, trigger string, ts transitions) []error {
	var errs []error
	for _, tr := range ts {
		if _, ok := f.States[tr.To]; !ok {
			errs = append(errs, trace.BadParameter("state %q, trigger %q: no state %q", state, trigger, tr.To))
		}
		if len(ts) > 1 && tr.Guard == "" {
			errs = append(errs, trace.BadParameter("state %q, trigger %q: of several transitions each needs a guard", state, trigger))
		}
	}
	return errs
}

// countReactions counts how often the state handles the trigger.
func (s stateSpec) countReactions(trigger string) int {
	n := 0
	if _, ok := s.On[trigger]; ok {
		n++
	}
	for _, t := range slices.Concat(s.Ignore, s.Reject) {
		if t == trigger {
			n++
		}
	}
	return n
}

// unreachable returns the sorted names of states that no path from the initial state reaches.
func (f *file) unreachable() []string {
	seen := map[string]bool{f.Initial: true}
	next := []string{f.Initial}
	for len(next) > 0 {
		s := next[0]
		next = next[1:]
		for _, ts := range f.States[s].On {
			for _, tr := range ts {
				if !seen[tr.To] {
					seen[tr.To] = true
					next = append(next, tr.To)
				}
			}
		}
	}
	var missing []string
	for name := range f.States {
		if !seen[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}
