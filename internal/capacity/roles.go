package capacity

import (
	"math"

	"mulberryscale.example/limits"
	"mulberryscale.example/membership"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/weights"
)

// Protocol constants by which the lines below multiply slopes.
const (
	// gossipPeers and exchangesPerSecond are the values of service/entry: every
	// second an entry starts one exchange with one of gossipPeers neighbours and
	// answers one.
	gossipPeers        = 8
	exchangesPerSecond = 2
	// streamBytes is the overhead of a QUIC stream with two messages, in both
	// directions together.
	streamBytes = 150
	// measuredReportBytes is the size of the report that report_quic_size was
	// measured with.
	measuredReportBytes = 254
	// noticeBytes is the size of a notice and its answer as CBOR (B/notice of
	// BenchmarkSpread).
	noticeBytes = 104
	// rowBytes is the size of a row of the table as YAML (B/document of
	// BenchmarkSpread).
	rowBytes = 42
	// pollsPerSecond is how often an agent polls its engine's status.
	pollsPerSecond = 2
	// tableCallBytes is the size of a small read or write of the table service with
	// its headers; an estimate.
	tableCallBytes = 600
	secondsPerDay  = 24 * 60 * 60
	// maxWatchedRatio is the ratio of the largest subset in BenchmarkEvenness to
	// the mean.
	maxWatchedRatio = 70.0 / 48.8
)

// requiredSlopes are the names of the slopes that the computation uses.
var requiredSlopes = []string{
	"report_size", "report_quic_size", "report_quic_cpu", "report_take_cpu", "connection_bytes", "connection_cpu",
	"connection_memory", "exchange_size", "exchange_cpu", "list_size", "list_cpu", "subset_cpu", "spread_cpu",
	"spread_time", "spread_notices", "step_memory", "results_memory", "waiting_memory", "admit_cpu", "pick_cpu", "queue_cpu",
	"claims_per_commit", "path_cpu", "call_cpu", "entry_memory", "agent_memory",
}

// Line is the cost of one kind of state or traffic of one node.
type Line struct {
	What      string `json:"what"`
	Mechanism string `json:"mechanism"`
	// Messages, Bytes and CPU are per second: messages and bytes in both
	// directions, and seconds of one core.
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"bytes_per_second"`
	CPU      float64 `json:"cpu_share_of_a_core"`
	// Memory is in bytes.
	Memory float64 `json:"memory_bytes"`
	// Reads and Writes are calls of the table service per second.
	Reads  float64 `json:"table_reads_per_second"`
	Writes float64 `json:"table_writes_per_second"`
}

// model computes the lines of a design from slopes.
type model struct {
	d Design
	s *Slopes
	// busiest is the number of agents that the entry watches; 0 means the mean.
	busiest float64
}

// watched returns the number of agents that the entry watches.
func (m *model) watched() float64 {
	if m.busiest > 0 {
		return m.busiest
	}
	return m.watchers() * float64(m.d.Agents) / float64(m.d.Entries)
}

// watchers returns the mean number of entries that watch an agent.
func (m *model) watchers() float64 {
	mean := math.Round(membership.DefaultSubset * float64(m.d.Entries) / float64(m.d.Agents))
	return min(float64(m.d.Entries), max(2, mean))
}

// reportsPerSecond returns the reports per second of one watch.
func (m *model) reportsPerSecond() float64 {
	shortest, _ := membership.WatchIntervals(membership.DefaultMinInterval, membership.DefaultMaxInterval, int(m.watched()), m.d.Agents)
	return 1 / shortest.Seconds()
}

// reportBytes returns the bytes of one report over QUIC.
func (m *model) reportBytes() float64 {
	overhead := m.s.at("report_quic_size", m.watched()) - measuredReportBytes
	return m.s.at("report_size", float64(m.d.AgentRows)) + overhead
}

func (m *model) changesPerSecond() float64 { return m.d.TableChangesPerDay / secondsPerDay }

// connections returns the line of n idle connections, without reports and calls.
func (m *model) connections(n float64, mechanism string) Line {
	return Line{
		What: "connections, idle", Mechanism: mechanism, Messages: 2 * n,
		Bytes: m.s.at("connection_bytes", n), CPU: m.s.at("connection_cpu", n),
		Memory: n * m.s.at("connection_memory", n),
	}
}

// reports returns the line of the load reports on n watches; receiveCPU is the
// CPU time in seconds that processing a report takes besides QUIC.
func (m *model) reports(n, receiveCPU float64, mechanism string) Line {
	perSecond := n * m.reportsPerSecond()
	return Line{
		What: "load reports", Mechanism: mechanism, Messages: perSecond,
		Bytes: perSecond * m.reportBytes(), CPU: perSecond * (m.s.at("report_quic_cpu", n) + receiveCPU),
	}
}

// list returns the line of reading the instance list; selectCPU is the CPU time in
// seconds that each read takes besides decoding.
func (m *model) list(intervalSeconds, selectCPU float64, mechanism string) Line {
	lines := float64(m.d.Entries + m.d.Agents)
	return Line{
		What: "instance list", Mechanism: mechanism, Messages: 1 / intervalSeconds,
		Bytes: m.s.at("list_size", lines) / intervalSeconds, CPU: (m.s.at("list_cpu", lines) + selectCPU) / intervalSeconds,
		Memory: 3 * m.s.at("list_size", lines),
	}
}

// table returns the line of spreading table versions; notices is how many notices
// the node sends or receives for each version.
func (m *model) table(notices float64, mechanism string) Line {
	document := rowBytes * float64(m.d.Rows)
	return Line{
		What: "table versions", Mechanism: mechanism, Messages: m.changesPerSecond() * (2*notices + 2),
		Bytes:  m.changesPerSecond() * (notices*(noticeBytes+streamBytes) + document + streamBytes),
		CPU:    m.changesPerSecond() * m.s.at("spread_cpu", float64(m.d.Entries)),
		Memory: 2 * document,
	}
}

// entryLines returns the control traffic and state of an entry.
func (m *model) entryLines() []Line {
	watched := m.watched()
	lines := float64(m.d.Entries + m.d.Agents)
	interval := membership.ListInterval(membership.DefaultListInterval, int(lines)).Seconds()
	rowsPerMessage := float64(min(m.d.LimitedRows, limits.MaxRowsPerMessage))
	gossip := Line{
		What: "demand of limited rows", Mechanism: "epidemic averaging with 8 neighbours (limits.Averager)",
		Messages: 2 * exchangesPerSecond, Bytes: exchangesPerSecond * (m.s.at("exchange_size", rowsPerMessage) + streamBytes),
		CPU: exchangesPerSecond * (m.s.at("exchange_cpu", rowsPerMessage)/2 + m.s.at("report_quic_cpu", gossipPeers)),
	}
	table := m.table(watched+2*gossipPeers, "notices to 8 neighbours and the watched agents, one pull; sparse polls (tablesync)")
	polls := 1 / tablesync.Interval(m.d.Entries, tablesync.DefaultReadsPerSecond, tablesync.DefaultMinInterval, tablesync.DefaultMaxInterval).Seconds()
	table.Reads = polls
	table.Bytes += polls * tableCallBytes
	claimed := m.d.RequestsPerSecond * m.d.NonIdempotentShare / float64(m.d.Entries)
	claims := Line{What: "claims", Mechanism: "one conditional write for each non-idempotent request, batched (claims)", Writes: claimed, Messages: 2 * claimed, Bytes: claimed * tableCallBytes}
	return []Line{
		{What: "idle process", Mechanism: "heap and stacks of an entry without callers", Memory: m.s.byName["entry_memory"].PerUnit},
		m.connections(watched+2*gossipPeers, "QUIC, one connection for each watched agent and neighbour"),
		m.reports(watched, m.s.at("report_take_cpu", watched), "subset by rendezvous hashing, interval by budget (membership)"),
		gossip,
		m.list(interval, m.s.at("subset_cpu", float64(m.d.Agents)), "sparse reads, interval by budget (membership)"),
		table, claims,
	}
}

// agentLines returns the control traffic and state of an agent.
func (m *model) agentLines() []Line {
	watchers := m.watchers()
	interval := weights.ListInterval(m.d.Agents).Seconds()
	poll := Line{What: "engine's status", Mechanism: "HTTP on the same instance, twice a second", Messages: 2 * pollsPerSecond, CPU: pollsPerSecond * m.s.at("call_cpu", 0)}
	queue := Line{What: "running and waiting requests", Mechanism: "bounded queue (admission), runs kept by key (results)", Memory: m.s.at("results_memory", float64(m.d.EngineSlots)) + m.s.at("waiting_memory", float64(m.d.QueuedAtAgent))}
	return []Line{
		{What: "idle process", Mechanism: "heap and stacks of an agent, the stand-in engine's included", Memory: m.s.byName["agent_memory"].PerUnit},
		m.connections(watchers, "QUIC, one connection from each watching entry"),
		m.reports(watchers, 0, "a report for each watcher, at its interval; urgent ones at once"),
		m.list(interval, 0, "sparse reads for the tree of weights (weights.PeerList)"),
		m.table(watchers, "notices of the watching entries, one pull (tablesync)"),
		poll, queue,
	}
}
