// Package flowcontrol decides in each entry which requests to a service are sent to its endpoints,
// in which order, and which are refused. The entries do not communicate: each follows the load that
// the endpoints report with their answers.
//
// The load it is made for: more requests than the endpoints can carry, through tens or hundreds of
// entries that each see a small, uneven part of them. Endpoints admit requests in order of arrival
// and reject what exceeds their room. If each request is sent at once, at three times the capacity
// 93 in 100 sends are rejected; with the gate about 1 in 100 is, and nearly every slot does work
// that is answered within the objective (load_test.go, docs/design/admission.md).
//
// Queue, Window and Returns have no clock, network or goroutine of their own. Gate reads the clock
// and blocks the calling goroutines.
package flowcontrol
