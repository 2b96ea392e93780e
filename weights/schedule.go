package weights

import (
	"math"
	"time"

	"mulberryscale.example/table"
)

// DefaultSwapWindow is the time over which a rolling swap spreads the engines' swaps.
const DefaultSwapWindow = 10 * time.Second

// SwapDelay returns the time from when the agent of the given rank learns of a version
// until it swaps, under the rolling policy. The delays of n agents are spread evenly over the
// window, so that with loads of a duration d at most ceil(n*d/window) engines
// load at the same time, provided that the agents' lists agree.
func SwapDelay(rank, n int, window time.Duration) time.Duration {
	if n <= 0 || rank <= 0 {
		return 0
	}
	return time.Duration(float64(window) * float64(min(rank, n-1)) / float64(n))
}

// Swap is the input of SwapDue.
type Swap struct {
	Policy table.SwapPolicy
	// Version is the engine's version, Latest the newest published version and
	// MinVersion the oldest version that some waiting request may use.
	Version    uint64
	Latest     uint64
	MinVersion uint64
	// LearnedAt is when Latest became known here; Delay is the agent's SwapDelay,
	// counted from then.
	LearnedAt time.Time
	Delay     time.Duration
}

// SwapDue reports whether the engine should begin to swap now. A rolling swap
// waits for the agent's delay unless the engine has no weights or its weights are
// too old for a request: then the staleness bound takes precedence.
func SwapDue(now time.Time, s Swap) bool {
	if s.Latest <= s.Version {
		return false
	}
	if s.Policy != table.SwapRolling || s.Version == 0 || s.MinVersion > s.Version {
		return true
	}
	return now.Sub(s.LearnedAt) >= s.Delay
}

// Bounds of the load that the agents put on the platform.
const (
	// DefaultStoreReads is how many times a second all agents together ask the store
	// for the newest version of a model.
	DefaultStoreReads = 10.0
	// listBytesPerSecond is how many bytes of the instance list one agent reads a
	// second, and listEntryBytes the size of one line of the list.
	listBytesPerSecond = 2048.0
	listEntryBytes     = 110.0
	minListInterval    = 2 * time.Second
	maxInterval        = time.Hour
)

// PollInterval returns the time that each of n agents waits between two requests to
// the store so that all of them together send perSecond requests a second.
func PollInterval(n int, perSecond float64, least time.Duration) time.Duration {
	return clampSeconds(float64(n)/perSecond, least)
}

// ListInterval returns the time that an agent waits between two reads of an instance
// list of n lines, so that it reads at most listBytesPerSecond.
func ListInterval(n int) time.Duration {
	return clampSeconds(float64(n)*listEntryBytes/listBytesPerSecond, minListInterval)
}

func clampSeconds(s float64, least time.Duration) time.Duration {
	d := time.Duration(math.Min(s, maxInterval.Seconds()) * float64(time.Second))
	return max(d, least)
}
