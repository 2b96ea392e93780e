package httpendpoint

import (
	"context"
	"net/url"

	"mulberryscale.example/endpoint"
	"mulberryscale.example/internal/httponce"
)

var (
	_ endpoint.Prober = (*Engine)(nil)
	_ endpoint.Prober = (*Service)(nil)
)

// Exited implements endpoint.Prober.
func (e *Engine) Exited(ctx context.Context) bool { return refusesConnections(ctx, e.base) }

// Exited implements endpoint.Prober.
func (s *Service) Exited(ctx context.Context) bool { return refusesConnections(ctx, s.base) }

// refusesConnections reports whether the address of a base URL refuses connections.
func refusesConnections(ctx context.Context, base string) bool {
	u, err := url.Parse(base)
	return err == nil && httponce.Refuses(ctx, u.Host)
}
