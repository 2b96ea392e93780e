// Package weights spreads new weights between agents, so that the weight store
// is read by a few of them only, and decides when an engine takes them.
//
// News passes on that a version was published, Relay fetches its immutable
// parts along a tree of agents and serves them to the agents below, and
// PeerList knows the agents. TreePlace, Turn, SwapDue and the intervals are
// pure functions.
package weights
