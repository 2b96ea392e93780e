// Package chart reads state charts from YAML files and runs them with the
// state-machine library qmuntal/stateless. Every state of a chart must handle each
// trigger: by a transition, by "ignore" (nothing happens) or by "reject" (an error).
// Load refuses a chart with a state that handles a trigger not at all or twice.
package chart
