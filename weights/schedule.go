package weights

import (
	"math"
	"time"

	"mulberryscale.example/table"
)

// DefaultSwapWindow is the time over which engines of a rolling swap take turns.
const DefaultSwapWindow = 10 * time.Second

// SwapDelay is how long after the news of a version the agent of that rank swaps
// under the rolling policy. The turns of n agents are spread evenly over the
// window, so that with loads of a duration d at most ceil(n*d/window) engines
// load at a time, as far as the agents' lists agree.
func SwapDelay(rank, n int, window time.Duration) time.Duration {
	if n <= 0 || rank <= 0 {
		return 0
	}
	return time.Duration(float64(window) * float64(min(rank, n-1)) / float64(n))
}

// Swap is what SwapDue decides on.
type Swap struct {
	Policy table.SwapPolicy
	// Version is what the engine has, Wanted the newest published version and
	// Needed the oldest one that some waiting request may use.
	Version    uint64
	Latest     uint64
	MinVersion uint64
	// LearnedAt is when Wanted became known here; Turn is the agent's turn after it.
	LearnedAt time.Time
	Delay     time.Duration
}

// SwapDue says whether the engine should begin to swap now. A rolling swap
// waits for the agent's turn unless the engine's weights are already too old
// for a request: then the staleness bound comes first.
func SwapDue(now time.Time, s Swap) bool {
	if s.Latest <= s.Version {
		return false
	}
	if s.Policy != table.SwapRolling || s.Version == 0 || s.MinVersion > s.Version {
		return true
	}
	return now.Sub(s.LearnedAt) >= s.Delay
}

// Bounds of what all agents together ask of the platform.
const (
	// DefaultStoreReads is how often a second all agents together ask the store
	// for the newest version of a model.
	DefaultStoreReads = 10.0
	// listBytesPerSecond is what one agent reads of the instance list, and
	// listEntryBytes the size of one line of it.
	listBytesPerSecond = 2048.0
	listEntryBytes     = 110.0
	minListInterval    = 2 * time.Second
	maxInterval        = time.Hour
)

// PollInterval is how long each of n agents waits between two questions to the
// store so that all of them together ask perSecond times.
func PollInterval(n int, perSecond float64, least time.Duration) time.Duration {
	return clampSeconds(float64(n)/perSecond, least)
}

// ListInterval is how long an agent waits between two reads of an instance list
// of n lines, so that its reads stay within a bound of bytes a second.
func ListInterval(n int) time.Duration {
	return clampSeconds(float64(n)*listEntryBytes/listBytesPerSecond, minListInterval)
}

func clampSeconds(s float64, least time.Duration) time.Duration {
	d := time.Duration(math.Min(s, maxInterval.Seconds()) * float64(time.Second))
	return max(d, least)
}
