package results

import "github.com/cespare/xxhash/v2"

// keySet remembers keys by their 64-bit hash. Two keys with one hash are taken
// for the same, which can only refuse a request that might have run.
type keySet struct {
	hashes map[uint64]struct{}
	limit  int
}

func newKeySet(limit int) keySet {
	return keySet{hashes: make(map[uint64]struct{}), limit: limit}
}

func (s keySet) add(key string) { s.hashes[xxhash.Sum64String(key)] = struct{}{} }

func (s keySet) remove(key string) { delete(s.hashes, xxhash.Sum64String(key)) }

func (s keySet) has(key string) bool {
	if key == "" {
		return false
	}
	_, ok := s.hashes[xxhash.Sum64String(key)]
	return ok
}

func (s keySet) full() bool { return len(s.hashes) >= s.limit }
