// Package weights distributes new weights between agents, so that only a few of
// them read the weight store, and decides when an engine swaps to them.
//
// VersionGossip spreads the versions that were published. Relay fetches the
// immutable parts of a version along a tree of agents and serves them to the
// agents below. PeerList lists the agents. TreePosition, SwapDelay, SwapDue and
// the intervals are pure functions.
package weights
