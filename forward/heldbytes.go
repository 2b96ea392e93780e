package forward

import (
	"net/http"
	"sync"
	"time"
)

// heldBytes counts the memory that the clients of gated services make this process hold: the bodies
// of their requests, and the answers until they are written. It is safe for concurrent use.
type heldBytes struct {
	limit int

	mu   sync.Mutex
	held int
}

// take holds the bytes of a new request unless that would exceed the limit. A request that is
// larger than the limit by itself is taken while nothing else is held.
func (h *heldBytes) take(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held > 0 && h.held+n > h.limit {
		return false
	}
	h.held += n
	return true
}

// add holds the bytes of an answer, which exist already: it never fails, and new requests are
// refused instead.
func (h *heldBytes) add(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held += n
}

// release gives bytes back.
func (h *heldBytes) release(n int) { h.add(-n) }

// total returns the bytes that are held.
func (h *heldBytes) total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

const (
	// heldRetryAfter is the time after which a client is asked to return that was refused for the
	// bytes held: slow readers take long, and their number does not fall at a known rate.
	heldRetryAfter = 500 * time.Millisecond
	// minRetryAfter and maxRetryShare bound what clients honour: at least 100 ms, and at most a
	// third of the time left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryShare = 3
)

// retryAfterHeld returns the Retry-After of a request that has the given time left.
func retryAfterHeld(left time.Duration) time.Duration {
	return max(minRetryAfter, min(heldRetryAfter, left/maxRetryShare))
}

// size returns the bytes of memory of a request's body and headers.
func (r *Request) size() int { return len(r.Body) + len(r.Target) + headerSize(r.Header) }

// headerSize returns the bytes of memory of headers.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// holdAnswer counts the memory of an answer until it is released. Streams count each event.
func (c *call) holdAnswer(answer *Answer) {
	if c.gate == nil || answer == nil || answer.Stream != nil {
		return
	}
	n := len(answer.Body)
	c.Gates.held.add(n)
	answer.release = func() { c.Gates.held.release(n) }
}

// holdEvent counts the memory of a stream's newest event in place of that of the former one.
func (s *observedStream) holdEvent(n int) {
	if s.call.gate == nil {
		return
	}
	s.call.Gates.held.add(n - s.held)
	s.held = n
}
