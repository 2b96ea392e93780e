package quarantine

import "context"

// Prober tells an endpoint that has ended from one that only lost a connection.
type Prober interface {
	// Refuses reports whether an address refuses connections: nothing listens there
	// any more. An address that does not answer in the prober's time refuses nothing.
	Refuses(ctx context.Context, addr string) bool
}
