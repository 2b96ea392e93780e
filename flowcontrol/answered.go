package flowcontrol

import "time"

// Answered records that the endpoint has begun to answer. It is called for streams, whose Done comes
// long after that: an endpoint that only streams must not count as one that answers nothing.
func (l *Lease) Answered() {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.window.silentSince = time.Time{}
}
