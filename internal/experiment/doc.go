// Package experiment puts load on a whole deployment of stand-ins and measures
// what its users measure: step time and trainer idle time against the offline
// lower bound and simpler policies, goodput and latency of lookups under
// overload, shares, and the overhead of the path. Ratios are taken within one
// run, so that they hold whatever the machine does otherwise.
package experiment
