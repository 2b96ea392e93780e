package httponce

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// probeTimeout limits a probe: a refusal takes one round trip, also between regions.
const probeTimeout = 200 * time.Millisecond

// Refuses reports whether an address refuses connections. It opens one and closes it
// at once. An address that does not answer in time counts as not refusing.
func Refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
