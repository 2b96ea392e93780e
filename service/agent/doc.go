// Package agent implements the agent: a small process that runs beside each
// endpoint and through which all requests reach it. An agent keeps the
// endpoint's queue (package admission) and the results of its runs (package
// results), orders a model engine to load new weights, and reports its state to
// the entry instances that watch it.
//
// An agent has no persistent state. Its memory of keys and results is lost on a
// restart, so requests that rely on that memory name an incarnation of the agent.
package agent
