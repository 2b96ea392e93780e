package results

import "github.com/cespare/xxhash/v2"

// keySet stores the keys of two incarnations by their 64-bit hash. Keys whose
// hashes collide are treated as the same key; a collision can only refuse a
// request that could have run.
type keySet struct {
	current  map[uint64]struct{} // of the current incarnation
	previous map[uint64]struct{} // of the previous incarnation
	limit    int
}

func newKeySet(limit int) keySet {
	return keySet{current: make(map[uint64]struct{}), limit: limit}
}

// rotate starts a new incarnation. It keeps the keys of the incarnation that ends
// and drops those of the one before it.
func (s *keySet) rotate() {
	s.previous = s.current
	s.current = make(map[uint64]struct{})
}

func (s keySet) add(key string) { s.current[xxhash.Sum64String(key)] = struct{}{} }

func (s keySet) remove(key string) {
	hash := xxhash.Sum64String(key)
	delete(s.current, hash)
	delete(s.previous, hash)
}

func (s keySet) has(key string) bool {
	if key == "" {
		return false
	}
	hash := xxhash.Sum64String(key)
	_, inCurrent := s.current[hash]
	_, inPrevious := s.previous[hash]
	return inCurrent || inPrevious
}

func (s keySet) full() bool { return len(s.current) >= s.limit }

// nearLimit reports whether the current incarnation has used half of the limit.
func (s keySet) nearLimit() bool { return len(s.current) >= s.limit/2 }
