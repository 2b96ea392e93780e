package stepprofile

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/logstory"
)

// logs are of one step whose last item was refused once, moved to another engine
// once, and whose result the trainer read late.
const logs = `
00.000 front-1 job accepted|"model":"m","step":3,"items":3
00.010 side-1 job seen
00.020 side-2 job seen
00.030 side-1 item sent|"item":"quick","events":0
02.030 side-1 item done|"item":"quick","events":50
00.040 side-2 item sent|"item":"last","events":0
00.540 side-3 item sent|"item":"last","events":0
01.540 side-1 item sent|"item":"last","events":10
05.540 side-1 item done|"item":"last","events":100
05.560 side-1 results appended
05.960 front-2 job's end
06.500 side-1 item done|"item":"too late","events":20
`

func parseLogs(t *testing.T, text string) []logstory.Line {
	t.Helper()
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		head, fields, _ := strings.Cut(line, "|")
		parts := strings.SplitN(head, " ", 3)
		if fields != "" {
			fields = "," + fields
		}
		fmt.Fprintf(&b, "{\"time\":\"2026-08-13T09:00:%sZ\",\"process\":%q,\"msg\":%q,\"job\":\"j\"%s}\n", parts[0], parts[1], parts[2], fields)
	}
	lines, unreadable, err := logstory.Read(strings.NewReader(b.String()))
	if err != nil || unreadable > 0 {
		t.Fatalf("%d unreadable lines, %v", unreadable, err)
	}
	return lines
}

func TestPartsOfAStep(t *testing.T) {
	steps := Steps(parseLogs(t, logs))
	if len(steps) != 1 {
		t.Fatalf("got %+v", steps)
	}
	s := steps[0]
	if s.Item != "last" || s.Model != "m" || s.Number != 3 || s.Items != 3 || s.Took != 5960*time.Millisecond || s.Events != 100 || s.Runs != 3 {
		t.Errorf("got %+v", s)
	}
	const ms = time.Millisecond
	want := map[Part]time.Duration{
		PartNotify: 20 * ms, PartDispatch: 20 * ms, PartRescheduling: 500 * ms, PartBaseline: 4000 * ms, PartSlowdown: 1000 * ms, PartAppend: 20 * ms, PartReading: 400 * ms,
	}
	sum := time.Duration(0)
	for _, p := range Parts {
		if s.Parts[p] != want[p] {
			t.Errorf("%s is %s, want %s", p, s.Parts[p], want[p])
		}
		sum += s.Parts[p]
	}
	if sum != s.Took {
		t.Errorf("the parts add up to %s, the step took %s", sum, s.Took)
	}
}

// TestPaceOfResumedItems checks that only events after the resumption count: an item
// that resumed at 80 of 100 events made 20 in its half second, not 100, and one that
// resumed at 95 made too few to count.
func TestPaceOfResumedItems(t *testing.T) {
	const resumed = `
00.000 side-3 item sent|"item":"resumed","events":80
00.500 side-3 item done|"item":"resumed","events":100
00.000 side-4 item sent|"item":"nearly whole","events":95
00.010 side-4 item done|"item":"nearly whole","events":100
`
	lines := parseLogs(t, resumed+strings.TrimSpace(logs))
	slices.SortStableFunc(lines, func(a, b logstory.Line) int { return a.Time.Compare(b.Time) })
	if steps := Steps(lines); len(steps) != 1 || steps[0].Parts[PartBaseline] != 2500*time.Millisecond {
		t.Errorf("got %+v", steps)
	}
}

func TestStepsMissingFromLogs(t *testing.T) {
	for name, text := range map[string]string{
		"not ended": "00.000 front-1 job accepted|\"model\":\"m\"\n00.040 side-2 item sent|\"item\":\"a\",\"events\":0",
		"no item":   "00.000 front-1 job accepted|\"model\":\"m\"\n05.960 front-2 job's end",
		"no start":  "00.040 side-2 item sent|\"item\":\"a\",\"events\":0\n01.540 side-1 item done|\"item\":\"a\",\"events\":10\n05.960 front-2 job's end",
	} {
		if steps := Steps(parseLogs(t, text)); len(steps) != 0 {
			t.Errorf("%s: got %+v", name, steps)
		}
	}
}

func TestTable(t *testing.T) {
	var b strings.Builder
	if err := Write(&b, Steps(parseLogs(t, logs))); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"last", "5.960s", "floor    4.000s", "67.1%"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is not in\n%s", want, b.String())
		}
	}
	if err := Write(&b, nil); err != nil {
		t.Fatal(err)
	}
}
