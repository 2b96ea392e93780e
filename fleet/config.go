// Package fleet holds a process's local copy of the state of the deployment: the operators'
// configuration, the registered instances, and the weight versions that trainers have named.
// It hands out immutable snapshots.
package fleet

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of a route. It determines whether the route's requests may be retried.
type Kind string

// Kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a stream of events; they run at most
	// once unless the route is resumable.
	KindStream Kind = "stream"
	// KindBatch routes take batch jobs.
	KindBatch Kind = "batch"
)

// Backend is a service that a route sends requests to.
type Backend struct {
	Service string
	// Weight is its share of the route's requests, relative to the route's other backends.
	Weight float64
}

// Route is a row of the configuration that tells how to serve requests of a host and path.
type Route struct {
	Name string
	Host string
	// Prefix is a path prefix that begins and ends with a slash. The longest match wins.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is how long a request may take until it is answered.
	Timeout time.Duration
	// Objective is the latency objective: an answer within it gets full credit.
	Objective time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued at another endpoint after their last event.
	Resumable bool
	// SingleVersion requires that all of an item's text comes from one weight version.
	SingleVersion bool
	// ItemTTL is the time after its submission after which an item may be abandoned.
	ItemTTL time.Duration
	// RunTarget is the time after its submission within which a batch job should be done.
	RunTarget time.Duration
	// Anonymous routes accept requests without the key of an organisation.
	Anonymous bool
}

// Backend returns the service for a request, chosen by the backends' weights and a hash of the
// request, so that the same request always gets the same service. It returns "" for a route
// without backends.
func (r *Route) Backend(request string) string {
	if len(r.Backends) == 0 {
		return ""
	}
	return choose(r.Backends, request)
}

// BackendAmong is Backend with services that are usable: a request whose service is not goes to another one of
// the route, by their weights, and all others stay where they are. ok is false if none is usable.
func (r *Route) BackendAmong(request string, usable func(service string) bool) (service string, ok bool) {
	if service := r.Backend(request); service != "" && usable(service) {
		return service, true
	}
	var left []Backend
	for _, b := range r.Backends {
		if b.Weight > 0 && usable(b.Service) {
			left = append(left, b)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return choose(left, request), true
}

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// choose returns the service of one of the backends, by their weights and a hash of the request.
func choose(backends []Backend, request string) string {
	total := 0.0
	for _, b := range backends {
		total += b.Weight
	}
	at := unitInterval(xxhash.Sum64String(request)) * total
	for _, b := range backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return backends[len(backends)-1].Service
}

// unitInterval maps a hash to [0, 1) with the precision of a float64.
func unitInterval(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections to one endpoint, from all callers together.
	MaxConns int
	// Models are the models that its engines serve; empty for a plain service.
	Models []string
	// Autoscale is set if the system controls the number of endpoints, else nil.
	Autoscale *Autoscale
}

// Autoscale bounds the number of endpoints of a service in one availability zone.
type Autoscale struct {
	Min, Max int
	// Boot is the time until a new endpoint serves.
	Boot time.Duration
}

// Limits bound the size of a client's request and the time that the client may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations hold the clients' API keys; empty if clients need no key.
	Organisations []Organisation
	// UnknownKinds names the routes whose kind this version of the program doesn't know. They
	// are treated as unsafe.
	UnknownKinds []string

	byHost map[string][]*Route // longest prefix first
	byKey  map[keyDigest]*Organisation
	byName map[string]*Organisation
}

// Index builds the indexes that the lookups use. It must be called once, before the
// configuration is shared.
func (c *Config) Index() {
	c.indexOrganisations()
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// HostName returns the host of a Host header, without its port.
func HostName(header string) string {
	if host, _, err := net.SplitHostPort(header); err == nil {
		return host
	}
	return header
}

// Match returns the route for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf returns a host's routes, the longest prefix first.
func (c *Config) routesOf(host string) []*Route { return c.byHost[strings.ToLower(host)] }

// HasService reports whether the configuration has a service of the given name.
func (c *Config) HasService(service string) bool { return c.Service(service) != nil }

// Service returns the service of the given name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
