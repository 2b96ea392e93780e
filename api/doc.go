// Package api holds the types and headers that callers and trainers exchange
// with an entry instance over HTTP: completions, service calls, training steps
// and the typed refusal.
package api
