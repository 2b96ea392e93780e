package forward

import (
	"strings"

	"mulberryscale.example/fleet"
)

// ServiceOf returns the service that gets a request of a route: the one that the route's weights give it, or another
// one of the route if that has no endpoints.
func (f *Forwarder) ServiceOf(route *fleet.Route, request string) string {
	if service, ok := route.BackendAmong(request, f.View.Snapshot().HasInstances); ok {
		return service
	}
	return route.Backend(request)
}

// serviceOf returns the service that gets a request. One that arrived before its route moved, such as a stream that is
// resumed, follows the route once no service of the former one has endpoints.
func (f *Forwarder) serviceOf(r *Request) string {
	snap := f.View.Snapshot()
	if service, ok := r.Route.BackendAmong(r.ID, snap.HasInstances); ok {
		return service
	}
	if route := r.routeIn(snap.Config); route != nil {
		if service, ok := route.BackendAmong(r.ID, snap.HasInstances); ok {
			return service
		}
	}
	return r.Route.Backend(r.ID)
}

// otherEndpoints returns the endpoints of the other services of the request's route. They are for the next send once
// all endpoints of its service were tried: one that has crashed is listed for seconds.
func (c *call) otherEndpoints() []fleet.Instance {
	snap := c.View.Snapshot()
	var endpoints []fleet.Instance
	for _, b := range c.request.Route.Backends {
		if b.Service != c.service && b.Weight > 0 {
			endpoints = append(endpoints, snap.OfService(b.Service)...)
		}
	}
	return endpoints
}

// routeIn returns the route that a configuration has for a request; nil if it has none of the same kind.
func (r *Request) routeIn(config *fleet.Config) *fleet.Route {
	if config == nil {
		return nil
	}
	path, _, _ := strings.Cut(r.Target, "?")
	route := config.Match(fleet.HostName(r.Host), path)
	if route == nil || route.Kind != r.Route.Kind {
		return nil
	}
	return route
}
