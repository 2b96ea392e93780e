package batch

import (
	"maps"
	"slices"
	"time"
)

// transferTime is how long an agent lists an item that it has handed over: as long as the call that hands it over
// may take, and as long as a round of calls for statuses may that overlaps it.
const transferTime = 2 * peerTimeout

// transfers holds the items of a job that were handed over recently, by index, with the time of it. The agent that
// takes one may not list it yet when it is asked, so that without its former holder nobody would list it.
type transfers map[int]time.Time

// indexes returns the items that were handed over less than transferTime ago, and drops the others.
func (tr transfers) indexes(now time.Time) []int {
	maps.DeleteFunc(tr, func(_ int, at time.Time) bool { return now.Sub(at) >= transferTime })
	return slices.Collect(maps.Keys(tr))
}
