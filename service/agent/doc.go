// Package agent is the small process beside each endpoint and the only way to
// it. An agent holds the endpoint's queue (package admission) and the results
// of its runs (package results), orders new weights on a model engine, and
// reports its state to the entry instances that watch it.
//
// An agent keeps nothing: what it knows ends with its incarnation, and callers
// that rely on its memory name the incarnation they mean.
package agent
