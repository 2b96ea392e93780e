package fleet

import "crypto/sha256"

// APIKey is the secret by which a client authenticates as an organisation. It is formatted as
// a placeholder, so that it never appears in a log line, error or dump.
type APIKey string

const keyPlaceholder = "[api key]"

// String implements fmt.Stringer.
func (APIKey) String() string { return keyPlaceholder }

// GoString implements fmt.GoStringer.
func (APIKey) GoString() string { return keyPlaceholder }

// MarshalText implements encoding.TextMarshaler, which JSON and YAML use.
func (APIKey) MarshalText() ([]byte, error) { return []byte(keyPlaceholder), nil }

// keyDigest is the hash of a key. The index has it in place of the key, since fmt does not call
// the String method of unexported fields and would print the key itself.
type keyDigest [sha256.Size]byte

func (k APIKey) digest() keyDigest { return sha256.Sum256([]byte(k)) }

// Organisation is one of the operators' customers.
type Organisation struct {
	Name string
	Keys []APIKey
	// Priority is the organisation's rank among all organisations; 0 is the highest. It
	// takes precedence over the priority of a route.
	Priority int
}

// HasOrganisations reports whether the configuration has organisations. If it has, each request
// needs the API key of one of them.
func (c *Config) HasOrganisations() bool { return len(c.Organisations) > 0 }

// Organisation returns the organisation that holds a key, or nil.
func (c *Config) Organisation(key APIKey) *Organisation { return c.byKey[key.digest()] }

// OrganisationByName returns the organisation of the given name, or nil.
func (c *Config) OrganisationByName(name string) *Organisation { return c.byName[name] }

// JobRoutes reports whether a host has routes for batch jobs that need a key, and whether it
// has such routes that need none.
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

// indexOrganisations builds the indexes by key and by name. If two organisations have the same
// key or name, the first one wins, as with two routes of the same prefix.
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
