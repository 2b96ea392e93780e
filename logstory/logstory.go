// Package logstory tells the story of one id from the logs of many processes:
// the lines of a request, a batch job or an item in order of time, what the
// processes involved lost or regained meanwhile, and what is missing.
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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// around is how long before and after the story's lines those of lost and
// regained dependencies are shown: an outage shows itself within seconds.
const around = 3 * time.Second

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	Level   string
	// Fields are the others, by name.
	Fields map[string]any
}

// hidden are fields that a story need not repeat.
var hidden = []string{"time", "msg", "level", "role", "incarnation", observe.FieldProcess}

// String is the line as a story shows it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-24s %s", l.Time.Format("15:04:05.000"), l.Process, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.Fields[name]; value != nil && !slices.Contains(hidden, name) {
			fmt.Fprintf(&b, " %s=%v", name, value)
		}
	}
	return b.String()
}

// Text is a field as text, empty if it is not there.
func (l Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Number is a field as a number, 0 if it is not there.
func (l Line) Number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Timeline is what the logs say of an id.
type Timeline struct {
	ID string
	// Lines are those of the id and, for an item, of its job.
	Lines []Line
	// Dependencies are losses and returns at the processes involved.
	Dependencies []Line
	// Missing says what one would expect and did not find.
	Missing []string
	// Unreadable counts lines that are no log lines.
	Unreadable int
}

// Read reads logs. Text before a line's first brace, such as a collector's
// prefix, is passed over; lines without one are counted.
func Read(logs ...io.Reader) (lines []Line, unreadable int, err error) {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
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

// Build picks an id's story out of lines in order of time.
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
		if !belongs(l, id, job) && !sendOf(l, reward) {
			continue
		}
		s.Lines = append(s.Lines, l)
		processes[l.Process] = true
	}
	if len(s.Lines) > 0 {
		s.Dependencies = dependencies(lines, processes, s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time)
	}
	s.Missing = missing(s.Lines, id)
	return s
}

// belongs reports whether a line is of the id; of an item's job only lines that
// name no other item are.
func belongs(l Line, id, job string) bool {
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

// sendOf reports whether a line is of a send of an item's reward call.
func sendOf(l Line, reward string) bool {
	return reward != "" && l.Text(observe.FieldRequest) == reward
}

// dependencyWords mark the lines of lost and regained dependencies, and of
// starts and stops.
var dependencyWords = []string{"lost", "regained", "starting", "draining", "stopped", "not read", "not saved", "relayed", "order", "weights changed"}

func dependencies(lines []Line, processes map[string]bool, from, to time.Time) []Line {
	var found []Line
	for _, l := range lines {
		if !processes[l.Process] || l.Time.Before(from.Add(-around)) || l.Time.After(to.Add(around)) {
			continue
		}
		if slices.ContainsFunc(dependencyWords, func(word string) bool { return strings.Contains(l.Message, word) }) {
			found = append(found, l)
		}
	}
	return found
}

// expected are the lines that follow each other in a story that went well.
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
	said := map[string]bool{}
	for _, l := range lines {
		said[l.Message] = true
	}
	var list []string
	for _, e := range expected {
		if said[e.after] && !said[e.want] && e.want != "results appended" {
			list = append(list, e.missing)
		}
	}
	return list
}

// Write prints a story.
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
	for _, m := range s.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines were no log lines\n", s.Unreadable)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
