// Package chart reads state charts from YAML files and interprets them through
// the state-machine library qmuntal/stateless. A chart must say for every state
// what each trigger does there: a transition, "ignore" (nothing happens) or
// "reject" (an error); a trigger that a state forgets is an error of Load.
package chart
