package capacity

import (
	"math"
	"time"

	"github.com/gravitational/trace"
)

// Design is the size of a deployment to compute the costs for.
type Design struct {
	Entries int `json:"entries"`
	Agents  int `json:"agents"`
	// Rows is how many rows the table has, LimitedRows how many of them have
	// limits and demand at the same time, AgentRows how many have load at one agent.
	Rows        int `json:"rows"`
	LimitedRows int `json:"limited_rows"`
	AgentRows   int `json:"agent_rows"`
	// RequestsPerSecond and TokensPerSecond are the peak rates of all callers together.
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Trainers          int     `json:"trainers"`
	StepSamples       int     `json:"step_samples"`
	// StepTime is the time within which a step's samples must be complete.
	StepTime time.Duration `json:"step_time"`
	// TableChangesPerDay is the number of table changes per day, each of which must
	// be in force everywhere within TableTime.
	TableChangesPerDay float64       `json:"table_changes_per_day"`
	TableTime          time.Duration `json:"table_time"`
	// SwapTime is the time within which new weights must be on all engines.
	SwapTime time.Duration `json:"swap_time"`
	// NonIdempotentShare is the share of requests that need a claim.
	NonIdempotentShare float64 `json:"non_idempotent_share"`
	// QueuedAtAgent is how many requests wait at a busy agent, EngineSlots how many
	// run there.
	QueuedAtAgent int `json:"queued_at_agent"`
	EngineSlots   int `json:"engine_slots"`
}

// PlannedSize returns the size that the users plan for. The rows, slots, queues
// and the share of non-idempotent requests are our assumptions.
func PlannedSize() Design {
	return Design{
		Entries: 820, Agents: 10000,
		Rows: 100, LimitedRows: 32, AgentRows: 4,
		RequestsPerSecond: 44000, TokensPerSecond: 13e6,
		Trainers: 9, StepSamples: 4096, StepTime: 6 * time.Minute,
		TableChangesPerDay: 5300, TableTime: 17 * time.Second, SwapTime: 21 * time.Second,
		NonIdempotentShare: 0.005, QueuedAtAgent: 256, EngineSlots: 64,
	}
}

// Maxima that Check accepts.
const (
	maxNodes = 1_000_000
	maxRows  = 10_000
)

// Check returns an error that names each number out of range, or nil.
func (d Design) Check() error {
	var errs []error
	if d.Entries < 1 || d.Entries > maxNodes {
		errs = append(errs, trace.BadParameter("entries must be between 1 and %d, not %d", maxNodes, d.Entries))
	}
	if d.Agents < 1 || d.Agents > maxNodes {
		errs = append(errs, trace.BadParameter("agents must be between 1 and %d, not %d", maxNodes, d.Agents))
	}
	if d.Rows < 1 || d.Rows > maxRows {
		errs = append(errs, trace.BadParameter("rows must be between 1 and %d, not %d", maxRows, d.Rows))
	}
	if !(d.RequestsPerSecond > 0) || math.IsInf(d.RequestsPerSecond, 0) {
		errs = append(errs, trace.BadParameter("requests must be more than 0, not %v", d.RequestsPerSecond))
	}
	if !(d.TokensPerSecond > 0) || math.IsInf(d.TokensPerSecond, 0) {
		errs = append(errs, trace.BadParameter("tokens must be more than 0, not %v", d.TokensPerSecond))
	}
	return trace.NewAggregate(errs...)
}

// Budget is the limit of what a node may spend on control.
type Budget struct {
	CPU    float64 `json:"cpu_share_of_a_core"`
	Memory float64 `json:"memory_bytes"`
	Bytes  float64 `json:"bytes_per_second"`
}

// PlannedBudget returns the users' budget of one node.
func PlannedBudget() Budget { return Budget{CPU: 0.022, Memory: 64 << 20, Bytes: 13000} }

// PlatformBudget is the capacity of the platform's table service for all nodes together.
type PlatformBudget struct {
	Reads  float64 `json:"reads_per_second"`
	Writes float64 `json:"writes_per_second"`
}

// PlannedPlatform returns the planned capacity of the table service: about two
// thousand reads and several hundred writes per second.
func PlannedPlatform() PlatformBudget { return PlatformBudget{Reads: 2000, Writes: 300} }
