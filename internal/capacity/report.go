package capacity

import (
	"fmt"

	"mulberryscale.example/membership"
)

// Role is the cost of one node of a role.
type Role struct {
	Name  string `json:"role"`
	Nodes int    `json:"nodes"`
	Lines []Line `json:"lines"`
	Total Line   `json:"total"`
	// Checks compare the total with each limit of the budget.
	Checks []LimitCheck `json:"verdicts"`
}

// LimitCheck compares a value with its limit; OK is true if the value doesn't
// exceed it.
type LimitCheck struct {
	What  string  `json:"what"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	OK    bool    `json:"ok"`
}

// String returns the value as a percentage of its limit, or the excess.
func (v LimitCheck) String() string {
	if v.OK {
		return fmt.Sprintf("OK, %.0f%% of it", 100*v.Value/v.Bound)
	}
	return fmt.Sprintf("EXCEEDS by %.0f%%", 100*(v.Value/v.Bound-1))
}

func newLimitCheck(what string, value, bound float64) LimitCheck {
	return LimitCheck{What: what, Value: value, Bound: bound, OK: value <= bound}
}

// Figure is one number of the data path or of the platform, with its origin.
type Figure struct {
	What  string  `json:"what"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	From  string  `json:"from"`
}

// Report is the complete result of a computation.
type Report struct {
	Design   Design       `json:"design"`
	Budget   Budget       `json:"budget"`
	Roles    []Role       `json:"roles"`
	Platform []LimitCheck `json:"platform"`
	Goals    []LimitCheck `json:"goals"`
	Data     []Figure     `json:"data_path"`
	Slopes   []*Slope     `json:"slopes"`
}

// Compute computes the costs of a design from the measured slopes and compares
// them with the budgets.
func Compute(d Design, b Budget, p PlatformBudget, s *Slopes) *Report {
	m := &model{d: d, s: s}
	entry := newRole("entry", d.Entries, m.entryLines(), b)
	agent := newRole("agent", d.Agents, m.agentLines(), b)
	busiest := &model{d: d, s: s, busiest: maxWatchedRatio * m.watched()}
	busiestEntry := newRole("entry", 1, busiest.entryLines(), b)
	reads := entry.Total.Reads*float64(d.Entries) + agent.Total.Reads*float64(d.Agents)
	writes := entry.Total.Writes*float64(d.Entries) + agent.Total.Writes*float64(d.Agents)
	return &Report{
		Design: d, Budget: b, Roles: []Role{entry, agent}, Slopes: s.All(), Data: m.dataPath(),
		Platform: []LimitCheck{
			newLimitCheck("table service, reads a second", reads, p.Reads),
			newLimitCheck("table service, writes a second", writes, p.Writes),
			newLimitCheck("table service, reads a second while all engines swap, for engines that check no fencing number", reads+float64(d.Agents)/d.SwapTime.Seconds(), p.Reads),
		},
		Goals: []LimitCheck{
			newLimitCheck("bytes a second of the entry that watches most agents", busiestEntry.Total.Bytes, b.Bytes),
			newLimitCheck("share of a core of the entry that watches most agents", busiestEntry.Total.CPU, b.CPU),
			newLimitCheck("seconds until a table version is in force everywhere", s.at("spread_time", float64(d.Entries)), d.TableTime.Seconds()),
			newLimitCheck("bytes of an entry with one step in progress and its control", entry.Total.Memory+2*s.at("step_memory", float64(d.StepSamples)), b.Memory),
			newLimitCheck("bytes of an entry with two steps in progress and its control", entry.Total.Memory+4*s.at("step_memory", float64(d.StepSamples)), b.Memory),
		},
	}
}

func newRole(name string, nodes int, lines []Line, b Budget) Role {
	total := Line{What: "total"}
	for _, l := range lines {
		total.Messages += l.Messages
		total.Bytes += l.Bytes
		total.CPU += l.CPU
		total.Memory += l.Memory
		total.Reads += l.Reads
		total.Writes += l.Writes
	}
	// The garbage collector lets the heap grow to twice the live memory (GOGC=100).
	headroom := Line{What: "collector's headroom", Mechanism: "as much again as what lives (GOGC=100)", Memory: total.Memory}
	lines = append(lines, headroom)
	total.Memory += headroom.Memory
	return Role{Name: name, Nodes: nodes, Lines: lines, Total: total, Checks: []LimitCheck{
		newLimitCheck("bytes a second", total.Bytes, b.Bytes),
		newLimitCheck("share of a core", total.CPU, b.CPU),
		newLimitCheck("bytes of memory", total.Memory, b.Memory),
	}}
}

// dataPath returns the cost of the requests themselves, for information: the
// budget covers control only.
func (m *model) dataPath() []Figure {
	tokens := m.d.TokensPerSecond / m.d.RequestsPerSecond
	perRequest := m.s.at("path_cpu", tokens)
	decisions := m.s.at("admit_cpu", float64(m.d.Rows)) + m.s.at("pick_cpu", m.watched()) + m.s.at("queue_cpu", float64(m.d.QueuedAtAgent))
	cores := perRequest * m.d.RequestsPerSecond
	perToken := m.s.byName["path_cpu"].PerUnit
	lines := float64(m.d.Entries + m.d.Agents)
	listBytes := m.s.at("list_size", lines)
	perReader := listBytes / membership.ListInterval(membership.DefaultListInterval, int(lines)).Seconds()
	return []Figure{
		{"tokens of a request", tokens, "tokens", "13 million tokens a second over 44,000 requests"},
		{"processor time of a request in entry and agent", 1e3 * perRequest, "ms", "path_cpu; the caller's own side is in it, so it is an upper bound"},
		{"requests a second for each core of entry and agent", 1 / perRequest, "requests/s", "its inverse"},
		{"tokens a second for each core of entry and agent", tokens / perRequest, "tokens/s", "the same, in tokens"},
		{"processor time of a token", 1e6 * perToken, "us", "slope of path_cpu; an event for 4 tokens goes through four processes"},
		{"decisions of a request", 1e6 * decisions, "us", "admit_cpu + pick_cpu + queue_cpu"},
		{"cores for all requests", cores, "cores", "all entries and agents together"},
		{"cores of one entry, when half of it is the entries'", cores / 2 / float64(m.d.Entries), "cores", "the halves were not measured apart"},
		{"cores of one agent, when half of it is the agents'", cores / 2 / float64(m.d.Agents), "cores", "the halves were not measured apart"},
		{"memory of one step of 4,096 samples at its entry", m.s.at("step_memory", float64(m.d.StepSamples)) / (1 << 20), "MB", "step_memory; the trainer's client is in it, the texts are not"},
		{"bytes a second that the instance list serves to all nodes", perReader * lines / 1e6, "MB/s", "each node's reads of the list, together"},
		{"seconds until all agents have a fencing number when all restart at once", float64(m.d.Agents) / PlannedPlatform().Writes, "s", "a write for each incarnation at the platform's rate of writes"},
	}
}
