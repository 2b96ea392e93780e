// Package entry implements the entry instance, which runs behind the platform's
// balancer and serves the HTTP API of callers and trainers. It admits, routes, retries
// and streams requests, and has no state that another entry could need.
package entry
