package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// verdict says which failures are passed over and which are not.
type verdict struct {
	passedOver []string
	problems   []string
}

// judge compares the results with the list. A failure is passed over if its test is listed,
// in this package and by this name, or if it is only the parent of such tests.
func judge(list []entry, r *results) verdict {
	v := verdict{problems: slices.Clone(r.buildFailed)}
	for _, path := range slices.Sorted(maps.Keys(r.packages)) {
		v.judgePackage(list, strings.TrimPrefix(path, modulePath), r.packages[path])
	}
	for _, e := range list {
		if !e.flaky && passed(r, e.name) {
			v.problem("%s is listed as failing and passes: take it off the list", e.name)
		}
	}
	return v
}

func (v *verdict) problem(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *verdict) judgePackage(list []entry, pkg string, p *packageResult) {
	if p.crashed != "" {
		v.problem("%s: %s", pkg, p.crashed)
	}
	failures := 0
	for _, test := range slices.Sorted(maps.Keys(p.tests)) {
		name, t := testName{pkg, test}, p.tests[test]
		switch t.ended {
		case actionPass, actionSkip:
		case actionFail:
			failures++
			v.judgeFailure(list, name, p)
		default:
			v.problem("%s did not end", name)
		}
	}
	switch {
	case p.ended == "":
		v.problem("%s did not end", pkg)
	case p.ended == actionFail && failures == 0:
		v.problem("%s failed, and none of its tests did", pkg)
	}
}

func (v *verdict) judgeFailure(list []entry, name testName, p *packageResult) {
	switch {
	case slices.ContainsFunc(list, func(e entry) bool { return e.name == name }):
		v.passedOver = append(v.passedOver, name.String())
	case failedByListedSubtests(list, name, p):
	default:
		v.problem("%s failed", name)
	}
}

// failedByListedSubtests reports whether a test failed only since listed subtests of it did. A
// test that printed something itself may have failed by itself.
func failedByListedSubtests(list []entry, name testName, p *packageResult) bool {
	if p.tests[name.test].ownOutput {
		return false
	}
	for test, t := range p.tests {
		sub := testName{name.pkg, test}
		listed := slices.ContainsFunc(list, func(e entry) bool { return e.name == sub })
		if sub.isWithin(name) && t.ended == actionFail && listed {
			return true
		}
	}
	return false
}

// passed reports whether a test ran and passed.
func passed(r *results, name testName) bool {
	p := r.packages[modulePath+name.pkg]
	return p != nil && p.tests[name.test] != nil && p.tests[name.test].ended == actionPass
}
