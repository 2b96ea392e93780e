package logstory

import (
	"strings"
	"testing"
)

const logs = `  0.01 front-1 {"time":"2026-08-13T09:00:44.01Z","msg":"job accepted","process":"front-1","job":"j1","owners":2,"level":"info"}
not a log line
{"time":"2026-08-13T09:00:44.03Z","msg":"job seen","process":"side-1","job":"j1","owner":true,"level":"info"}
{"time":"2026-08-13T09:00:45.00Z","msg":"engine lost","process":"side-1","engine":"10.0.0.1:80","level":"warning"}
{"time":"2026-08-13T09:00:45.00Z","msg":"engine lost","process":"side-9","engine":"10.0.0.9:80","level":"warning"}
{"time":"2026-08-13T09:00:44.20Z","msg":"item not done","process":"side-1","job":"j1","item":"i1","error":"reset","level":"info"}
{"time":"2026-08-13T09:00:44.05Z","msg":"item sent","process":"side-1","job":"j1","item":"i1","level":"info"}
{"time":"2026-08-13T09:00:44.05Z","msg":"item sent","process":"side-1","job":"j1","item":"i2","level":"info"}
{"time":"2026-08-13T09:00:50.00Z","msg":"request answered","process":"front-1","request":"r1","status":200,"level":"info"}
`

func buildTimeline(t *testing.T, id string) (Timeline, string) {
	t.Helper()
	lines, unreadable, err := Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	s := Build(lines, id)
	s.Unreadable = unreadable
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	return s, b.String()
}

func TestTimelineOfItem(t *testing.T) {
	s, text := buildTimeline(t, "i1")
	var messages []string
	for _, l := range s.Lines {
		messages = append(messages, l.Message)
	}
	if got := strings.Join(messages, ", "); got != "job accepted, job seen, item sent, item not done" {
		t.Errorf("got %s", got)
	}
	if len(s.Dependencies) != 1 || s.Dependencies[0].Process != "side-1" {
		t.Errorf("got %v", s.Dependencies)
	}
	for _, want := range []string{"missing: no run of it came to its end", "error=reset", "1 lines were no log lines"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}

// TestTimelineByClientID uses the id that the client knows, without the
// organisation's prefix.
func TestTimelineByClientID(t *testing.T) {
	lines, _, err := Read(strings.NewReader(strings.ReplaceAll(logs, `"job":"j1"`, `"job":"guthi:j1"`)))
	if err != nil {
		t.Fatal(err)
	}
	if s := Build(lines, "j1"); len(s.Lines) != 5 {
		t.Errorf("got %v", s.Lines)
	}
}

func TestTimelineOfRequest(t *testing.T) {
	if s, _ := buildTimeline(t, "r1"); len(s.Lines) != 1 || len(s.Missing) != 0 {
		t.Errorf("got %v", s)
	}
}

func TestTimelineOfUnknownID(t *testing.T) {
	if s, _ := buildTimeline(t, "other"); len(s.Lines) != 0 || len(s.Missing) != 1 {
		t.Errorf("got %v", s)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := Read(strings.NewReader(text))
		if err == nil {
			Build(lines, "i1")
		}
	})
}
