package capacity

import (
	"math"

	"mulberryscale.example/limits"
	"mulberryscale.example/membership"
	"mulberryscale.example/tablesync"
	"mulberryscale.example/weights"
)

// Constants of the protocols that the lines below multiply slopes with.
const (
	// gossipPeers and exchangesPerSecond are service/entry's: an entry begins
	// one exchange a second with one of so many neighbours and answers one.
	gossipPeers        = 8
	exchangesPerSecond = 2
	// streamBytes is what a stream of two messages adds to them on QUIC, both ways.
	streamBytes = 150
	// measuredReport is the size of the message in report_quic_size.
	measuredReport = 254
	// noticeBytes is a notice and its answer as CBOR (B/notice of BenchmarkSpread).
	noticeBytes = 104
	// rowBytes is a row of the table as YAML (B/document of BenchmarkSpread).
	rowBytes = 42
	// pollsPerSecond is how often an agent asks its engine for the status.
	pollsPerSecond = 2
	// tableCallBytes is a small read or write of the table service with its headers; an estimate.
	tableCallBytes = 600
	secondsPerDay  = 24 * 60 * 60
	// mostWatched is the largest subset that BenchmarkEvenness shows, as a
	// ratio to the mean.
	mostWatched = 70.0 / 48.8
)

// needed are the slopes that the lines use.
var needed = []string{
	"report_size", "report_quic_size", "report_quic_cpu", "report_take_cpu", "connection_bytes", "connection_cpu",
	"connection_memory", "exchange_size", "exchange_cpu", "list_size", "list_cpu", "subset_cpu", "spread_cpu",
	"spread_time", "spread_notices", "step_memory", "results_memory", "waiting_memory", "admit_cpu", "pick_cpu", "queue_cpu",
	"claims_per_commit", "path_cpu", "call_cpu", "entry_memory", "agent_memory",
}

// Line is one kind of state or traffic of one node.
type Line struct {
	What      string `json:"what"`
	Mechanism string `json:"mechanism"`
	// Messages, Bytes and CPU are a second: both ways, and seconds of one core.
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"bytes_per_second"`
	CPU      float64 `json:"cpu_share_of_a_core"`
	// Memory is in bytes.
	Memory float64 `json:"memory_bytes"`
	// Reads and Writes are of the table service, a second.
	Reads  float64 `json:"table_reads_per_second"`
	Writes float64 `json:"table_writes_per_second"`
}

// model works lines out.
type model struct {
	d Design
	s *Slopes
	// busiest is the number of agents that the entry watches, 0 for the mean.
	busiest float64
}

// watched is the mean number of agents that an entry watches, watchers the
// number of entries that watch an agent.
func (m *model) watched() float64 {
	if m.busiest > 0 {
		return m.busiest
	}
	return m.watchers() * float64(m.d.Agents) / float64(m.d.Entries)
}

func (m *model) watchers() float64 {
	mean := math.Round(membership.DefaultSubset * float64(m.d.Entries) / float64(m.d.Agents))
	return min(float64(m.d.Entries), max(2, mean))
}

func (m *model) reportsPerSecond() float64 {
	shortest, _ := membership.WatchIntervals(membership.DefaultMinInterval, membership.DefaultMaxInterval, int(m.watched()), m.d.Agents)
	return 1 / shortest.Seconds()
}

func (m *model) reportBytes() float64 {
	overhead := m.s.at("report_quic_size", m.watched()) - measuredReport
	return m.s.at("report_size", float64(m.d.AgentRows)) + overhead
}

func (m *model) changesPerSecond() float64 { return m.d.TableChangesPerDay / secondsPerDay }

// connections is a line of idle connections; reports and calls come on top.
func (m *model) connections(n float64, mechanism string) Line {
	return Line{
		What: "connections, idle", Mechanism: mechanism, Messages: 2 * n,
		Bytes: m.s.at("connection_bytes", n), CPU: m.s.at("connection_cpu", n),
		Memory: n * m.s.at("connection_memory", n),
	}
}

// reports is a line of reports on a number of watches.
func (m *model) reports(n, take float64, mechanism string) Line {
	perSecond := n * m.reportsPerSecond()
	return Line{
		What: "load reports", Mechanism: mechanism, Messages: perSecond,
		Bytes: perSecond * m.reportBytes(), CPU: perSecond * (m.s.at("report_quic_cpu", n) + take),
	}
}

// list is a line of reading the instance list; choose is the processor time
// that each reading takes besides its decoding.
func (m *model) list(intervalSeconds, choose float64, mechanism string) Line {
	lines := float64(m.d.Entries + m.d.Agents)
	return Line{
		What: "instance list", Mechanism: mechanism, Messages: 1 / intervalSeconds,
		Bytes: m.s.at("list_size", lines) / intervalSeconds, CPU: (m.s.at("list_cpu", lines) + choose) / intervalSeconds,
		Memory: 3 * m.s.at("list_size", lines),
	}
}

// table is a line of spreading table versions; notices is how many this node
// sends or gets for each.
func (m *model) table(notices float64, mechanism string) Line {
	document := rowBytes * float64(m.d.Rows)
	return Line{
		What: "table versions", Mechanism: mechanism, Messages: m.changesPerSecond() * (2*notices + 2),
		Bytes:  m.changesPerSecond() * (notices*(noticeBytes+streamBytes) + document + streamBytes),
		CPU:    m.changesPerSecond() * m.s.at("spread_cpu", float64(m.d.Entries)),
		Memory: 2 * document,
	}
}

// entryLines are the control traffic and state of an entry.
func (m *model) entryLines() []Line {
	watched := m.watched()
	lines := float64(m.d.Entries + m.d.Agents)
	interval := membership.ListInterval(membership.DefaultListInterval, int(lines)).Seconds()
	told := float64(min(m.d.LimitedRows, limits.MaxRowsPerMessage))
	gossip := Line{
		What: "demand of limited rows", Mechanism: "epidemic averaging with 8 neighbours (limits.Averager)",
		Messages: 2 * exchangesPerSecond, Bytes: exchangesPerSecond * (m.s.at("exchange_size", told) + streamBytes),
		CPU: exchangesPerSecond * (m.s.at("exchange_cpu", told)/2 + m.s.at("report_quic_cpu", gossipPeers)),
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

// agentLines are the control traffic and state of an agent.
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
