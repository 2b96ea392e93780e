// Package quarantine keeps requests that crash the endpoints running them (queries of death) away
// from further endpoints.
//
// The unit is a content: what a request asks for and who asks, whatever the request's id; a
// Fingerprint identifies it. A history records under which runs of a content endpoints crashed,
// and derives the content's state; it has no clock and no network. A Tracker is the part of one
// process: callers report broken and answered runs to it, it asks a Prober whether an endpoint
// has crashed, writes crashes to the store through an outbox, follows what other processes write,
// and claims trials. A trial sends a quarantined content once to see whether it still crashes
// endpoints, as the half-open state of a circuit breaker does. Processes without a common store
// exchange GossipEvents.
package quarantine
