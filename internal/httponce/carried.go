package httponce

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A server in trouble may send its answer to a request a second time, later. Where the request is sent again under
// its id, nothing in the copy tells it from the answer to the second attempt. A copy can only come on the connection
// of its original, so an id goes out once on each connection.

// maxCarried is the number of requests with an id that a connection carries before it is replaced. It bounds the
// memory for their ids, and the search among them.
const maxCarried = 512

// carriedIDs are the hashes of the ids of the requests that a connection has carried. Ids whose hashes are equal
// cost a connection, nothing else.
type carriedIDs []uint64

// add adds an id. It reports false if the connection may not carry the request: it has carried this id, or as many
// as it may.
func (c *carriedIDs) add(id string) bool {
	hash := xxhash.Sum64String(id)
	if len(*c) >= maxCarried || slices.Contains(*c, hash) {
		return false
	}
	*c = append(*c, hash)
	return true
}
