package results

import "github.com/cespare/xxhash/v2"

// keySet remembers the keys of two incarnations by their 64-bit hash. Two keys
// with one hash are taken for the same, which can only refuse a request that
// might have run.
type keySet struct {
	hashes  map[uint64]struct{} // of the current incarnation
	earlier map[uint64]struct{} // of the one before
	limit   int
}

func newKeySet(limit int) keySet {
	return keySet{hashes: make(map[uint64]struct{}), limit: limit}
}

// turn begins another incarnation and forgets the keys of the one before the last.
func (s *keySet) turn() {
	s.earlier = s.hashes
	s.hashes = make(map[uint64]struct{})
}

func (s keySet) add(key string) { s.hashes[xxhash.Sum64String(key)] = struct{}{} }

func (s keySet) remove(key string) {
	hash := xxhash.Sum64String(key)
	delete(s.hashes, hash)
	delete(s.earlier, hash)
}

func (s keySet) has(key string) bool {
	if key == "" {
		return false
	}
	hash := xxhash.Sum64String(key)
	_, now := s.hashes[hash]
	_, before := s.earlier[hash]
	return now || before
}

func (s keySet) full() bool { return len(s.hashes) >= s.limit }

// crowded says whether the set will soon be full.
func (s keySet) crowded() bool { return len(s.hashes) >= s.limit/2 }
