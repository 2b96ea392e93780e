// Package entry is the thin entry instance behind the platform's balancer: the
// callers' and trainers' HTTP API. It admits, routes, retries and streams; it
// keeps nothing that another entry could need.
package entry
