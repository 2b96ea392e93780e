// Package fleet holds what a process believes of the deployment: the operators'
// configuration, the instances that are registered, and the weight versions that
// trainers have named. What it hands out are immutable snapshots.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated of a route's requests.
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

// Backend is a service that a route sends to.
type Backend struct {
	Service string
	// Weight is its share among the route's backends, relative to the others.
	Weight float64
}

// Route is one row of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; the longest that matches wins.
	Prefix   string
	Kind     Kind
	Backends []Backend
	// Timeout is how long the operator wants a request kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer earns its full credit.
	Objective time.Duration
	// Priority is the rank among routes, 0 the highest.
	Priority int
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
	// SingleVersion wants all of an item's text from one weight version.
	SingleVersion bool
	// ItemTTL is how long after its submission an item may be given up.
	ItemTTL time.Duration
	// RunTarget is how long after its submission a batch job should be done.
	RunTarget time.Duration
	// Anonymous routes take requests without the key of an organisation.
	Anonymous bool
}

// Backend picks the service for a request by the backends' weights; the same
// request always gets the same. It is empty for a route without backends.
func (r *Route) Backend(request string) string {
	if len(r.Backends) == 0 {
		return ""
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := unitInterval(xxhash.Sum64String(request)) * total
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// unitInterval maps a hash to [0, 1), with as many bits as a float64 has.
func unitInterval(hash uint64) float64 {
	const bits = 53
	return float64(hash>>(64-bits)) / (1 << bits)
}

// Service is a group of like endpoints.
type Service struct {
	Name string
	// MaxConns bounds the connections to one endpoint, of all callers together.
	MaxConns int
	// Models are the models that its engines serve; none for a plain service.
	Models []string
	// Autoscale is set where the system orders how many endpoints there are.
	Autoscale *Autoscale
}

// Autoscale bounds the endpoints of a service in one availability zone.
type Autoscale struct {
	Min, Max int
	// Boot is how long a new endpoint needs until it serves.
	Boot time.Duration
}

// Limits bound what a client may send and how long it may take.
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
	// Organisations hold the keys that clients bear; none where clients need no key.
	Organisations []Organisation
	// UnknownKinds names the routes whose kind is not known here; they are taken
	// as unsafe.
	UnknownKinds []string

	byHost map[string][]*Route // the longest prefix first
	byKey  map[keyDigest]*Organisation
	byName map[string]*Organisation
}

// Index prepares the configuration for its searches; it is called once, before
// the configuration is shared.
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

// Match returns the route of a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// routesOf are a host's routes, the longest prefix first.
func (c *Config) routesOf(host string) []*Route { return c.byHost[strings.ToLower(host)] }

// HasService reports whether a service is one of the configuration's.
func (c *Config) HasService(service string) bool { return c.Service(service) != nil }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
