package fleet

import "crypto/sha256"

// APIKey is the secret by which a client shows its organisation. It prints as a
// placeholder wherever it is formatted, so that it stands in no log line, error
// or dump.
type APIKey string

const hiddenKey = "[api key]"

// String implements fmt.Stringer.
func (APIKey) String() string { return hiddenKey }

// GoString implements fmt.GoStringer.
func (APIKey) GoString() string { return hiddenKey }

// MarshalText implements encoding.TextMarshaler, which JSON and YAML use.
func (APIKey) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }

// keyDigest stands for a key in the index, which would print the key itself: fmt
// asks no unexported field how it wants to be printed.
type keyDigest [sha256.Size]byte

func (k APIKey) digest() keyDigest { return sha256.Sum256([]byte(k)) }

// Organisation is one of the operators' customers.
type Organisation struct {
	Name string
	Keys []APIKey
	// Priority is its rank among organisations, 0 the highest. It goes before the
	// priority of a route.
	Priority int
}

// HasOrganisations reports whether requests bear the key of an organisation.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// Organisation returns the organisation that holds a key, or nil.
func (c *Config) Organisation(key APIKey) *Organisation { return c.byKey[key.digest()] }

// OrganisationByName returns an organisation by name, or nil.
func (c *Config) OrganisationByName(name string) *Organisation { return c.byName[name] }

// JobRoutes reports whether a host has routes for batch jobs whose clients need a
// key, and such whose clients need none.
func (c *Config) JobRoutes(host string) (keyed, anonymous bool) {
	for _, r := range c.routesOf(host) {
		if r.Kind != KindBatch {
			continue
		}
		keyed = keyed || !r.Anonymous
		anonymous = anonymous || r.Anonymous
	}
	return keyed, anonymous
}

// indexOrganisations prepares the search by key and by name. Of two that hold
// one key the first stands, as of two routes with one prefix.
func (c *Config) indexOrganisations() {
	c.byKey = make(map[keyDigest]*Organisation)
	c.byName = make(map[string]*Organisation)
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if c.byName[o.Name] == nil {
			c.byName[o.Name] = o
		}
		for _, key := range o.Keys {
			if c.byKey[key.digest()] == nil {
				c.byKey[key.digest()] = o
			}
		}
	}
}
