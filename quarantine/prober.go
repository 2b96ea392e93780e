package quarantine

import "context"

// Prober tells a crashed endpoint from one that only lost a connection.
type Prober interface {
	// Refuses reports whether an address refuses connections, since nothing listens there any
	// more. It returns false for an address that does not answer within the prober's timeout.
	Refuses(ctx context.Context, addr string) bool
}
