// Package logstory builds the timeline of one id from the logs of many processes:
// the lines of a request, batch job or item in order of time, the outages of
// dependencies at the processes involved, and the expected lines that are missing.
package logstory

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/observe"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// outageMargin is how long before the first and after the last line of a timeline
// the lines of dependency outages are included: an outage is logged within seconds.
const outageMargin = 3 * time.Second

// Line is one parsed line of a log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	Level   string
	// Fields holds all fields of the line by name.
	Fields map[string]any
}

// omittedFields are fields that String does not print after the message.
var omittedFields = []string{"time", "msg", "level", "role", "incarnation", observe.FieldProcess}

// String formats the line as Timeline.Write prints it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %s", l.Time.Format("15:04:05.000"), l.Process, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != nil && !slices.Contains(omittedFields, name) {
			fmt.Fprintf(&b, " %s=%v", name, value)
		}
	}
	return b.String()
}

// Text returns a string field, empty if it is missing or of another type.
func (l Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number returns a numeric field, 0 if it is missing or of another type.
func (l Line) Number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Timeline holds the log lines about one id, in order of time.
type Timeline struct {
	ID string
	// Lines are the lines of the id and, for an item, of its job.
	Lines []Line
	// Dependencies are the lines about lost and regained dependencies, starts and
	// stops at the processes in Lines, during the timeline.
	Dependencies []Line
	// Decisions tells the decisions under overload in Lines, one message each.
	Decisions []string
	// Missing describes expected lines that are absent, one message each.
	Missing []string
	// Unreadable is the number of input lines that are not log lines.
	Unreadable int
}

// Read parses logs of JSON lines and returns their lines sorted by time. Text
// before a line's first brace, such as a log collector's prefix, is skipped; lines
// that cannot be parsed are only counted in unreadable. The error is one of reading
// a log, also for a line longer than maxLineBytes.
func Read(logs ...io.Reader) (lines []Line, unreadable int, err error) {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(scanner.Bytes())
			if !ok {
				unreadable++
				continue
			}
			lines = append(lines, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, unreadable, fmt.Errorf("read a log: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, unreadable, nil
}

func parse(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[at:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Message, l.Level, l.Process = l.Text("msg"), l.Text("level"), l.Text(observe.FieldProcess)
	when, err := time.Parse(time.RFC3339Nano, l.Text("time"))
	l.Time = when
	return l, err == nil && l.Message != ""
}

// Build selects the lines that belong to id. The lines must be sorted by time.
func Build(lines []Line, id string) Timeline {
	s := Timeline{ID: id}
	job := ""
	reward := ""
	for _, l := range lines {
		if l.Text(observe.FieldItem) == id {
			job = cmp.Or(job, l.Text(observe.FieldJob))
			reward = cmp.Or(reward, l.Text(observe.FieldReward))
		}
	}
	processes := map[string]bool{}
	for _, l := range lines {
		if !matchesID(l, id, job) && !isRewardSend(l, reward) {
			continue
		}
		s.Lines = append(s.Lines, l)
		processes[l.Process] = true
	}
	if len(s.Lines) > 0 {
		s.Dependencies = dependencies(lines, processes, s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time)
	}
	s.Decisions = decisions(s.Lines)
	s.Missing = missing(s.Lines, id)
	return s
}

// matchesID reports whether a line belongs to the id. Of an item's job, only lines
// that name no item belong to it, except appends of results.
func matchesID(l Line, id, job string) bool {
	for _, name := range []string{observe.FieldRequest, observe.FieldItem, observe.FieldJob, observe.FieldReward} {
		if l.Text(name) == id {
			return true
		}
	}
	if batch.ClientID(l.Text(observe.FieldJob)) == id {
		return true
	}
	return job != "" && l.Text(observe.FieldJob) == job && l.Text(observe.FieldItem) == "" && l.Message != "results appended"
}

// isRewardSend reports whether a line is about a send of an item's reward call.
func isRewardSend(l Line, reward string) bool {
	return reward != "" && l.Text(observe.FieldRequest) == reward
}

// dependencyWords are substrings of the messages about lost and regained
// dependencies, and about starts and stops of a process.
var dependencyWords = []string{"lost", "regained", "starting", "draining", "stopped", "not read", "not saved", "relayed", "order", "weights changed"}

func dependencies(lines []Line, processes map[string]bool, from, to time.Time) []Line {
	var found []Line
	for _, l := range lines {
		if !processes[l.Process] || l.Time.Before(from.Add(-outageMargin)) || l.Time.After(to.Add(outageMargin)) {
			continue
		}
		if slices.ContainsFunc(dependencyWords, func(word string) bool { return strings.Contains(l.Message, word) }) {
			found = append(found, l)
		}
	}
	return found
}

// expected lists messages that follow each other when nothing fails, with the text
// to report when the second one is missing.
var expected = []struct{ after, want, missing string }{
	{"job accepted", "job seen", "no agent saw the job: its feed was lost, or it has no agent for the service"},
	{"job seen", "item sent", "no item of it was sent to an engine: versions too old, engines gone, or all busy"},
	{"item sent", "item done", "no run of it came to its end"},
	{"item not scored yet", "item scored", "its reward call got no score: see why each send failed, and whether its route has engines"},
	{"item done", "results appended", "its result did not reach the store from the agent that finished it"},
}

func missing(lines []Line, id string) []string {
	if len(lines) == 0 {
		return []string{"no line has the id " + id + ": it reached no process whose log is here"}
	}
	seen := map[string]bool{}
	for _, l := range lines {
		seen[l.Message] = true
	}
	var list []string
	for _, e := range expected {
		if seen[e.after] && !seen[e.want] && e.want != "results appended" {
			list = append(list, e.missing)
		}
	}
	return list
}

// Write prints the timeline in sections; it returns the writer's error.
func (s Timeline) Write(w io.Writer) error {
	var b strings.Builder
	section := func(title string, lines []Line) {
		if len(lines) == 0 {
			return
		}
		fmt.Fprintf(&b, "%s\n", title)
		for _, l := range lines {
			fmt.Fprintf(&b, "  %s\n", l)
		}
	}
	section("story of "+s.ID, s.Lines)
	section("meanwhile at these processes", s.Dependencies)
	for _, d := range s.Decisions {
		fmt.Fprintf(&b, "decision: %s\n", d)
	}
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines were no log lines\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
