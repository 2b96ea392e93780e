// Package experiment runs load against a whole deployment of stand-ins and measures user-visible
// performance: step time and trainer idle time compared with the offline lower bound and with
// simpler policies, goodput and latency of lookups under overload, the shares of the rows, and the
// overhead of the path through entry and agent. Ratios compare measurements of the same run, so
// that they don't depend on other load on the machine.
package experiment
