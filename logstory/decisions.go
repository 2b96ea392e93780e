package logstory

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"mulberryscale.example/observe"
)

// notAdmittedReasons says for each reason of observe.MessageNotAdmitted what was decided.
var notAdmittedReasons = map[string]string{
	"queue_full": "the queue of the service was at its bound, or the process held as many bytes for clients as it may",
	"no_time":    "after the requests that go before it, it could not be served in the time that it had left",
	"expired":    "it waited until its deadline or the longest wait, or had too little time left when it came",
}

// decisions tells the decisions in the lines of a timeline, with the figures on which they were
// made.
func decisions(lines []Line) []string {
	var list []string
	for _, l := range lines {
		switch l.Message {
		case observe.MessageNotAdmitted:
			list = append(list, l.notAdmitted())
		case observe.MessageGroupsDeferred:
			list = append(list, l.groupsDeferred())
		}
	}
	return list
}

func (l Line) notAdmitted() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s refused the request for service %s as not run, rank %s, organisation %s: %s, %s.",
		l.Process, l.value(observe.FieldService), l.value(observe.FieldRank), l.value(observe.FieldOrganisation), l.value(observe.FieldReason),
		cmp.Or(notAdmittedReasons[l.Text(observe.FieldReason)], "a reason that this version does not know"))
	fmt.Fprintf(&b, " There %s requests waited and the windows allowed %s a second%s.",
		l.value(observe.FieldWaiting), l.figure(observe.FieldRate), l.queueTime())
	fmt.Fprintf(&b, " The client was told to return after %s.", l.milliseconds(observe.FieldRetryAfter))
	return b.String()
}

// queueTime says how long the requests that waited take at the rate of the windows.
func (l Line) queueTime() string {
	waiting, rate := l.Number(observe.FieldWaiting), l.Number(observe.FieldRate)
	if waiting <= 0 || rate <= 0 {
		return ""
	}
	return fmt.Sprintf(": %s of work", time.Duration(waiting/rate*float64(time.Second)).Round(time.Millisecond))
}

func (l Line) groupsDeferred() string {
	if l.Number(observe.FieldDeferred) == 0 {
		return fmt.Sprintf("%s deferred no group of job %s any more.", l.Process, l.value(observe.FieldJob))
	}
	return fmt.Sprintf("%s deferred %s of %s groups of job %s, of which its trainer waits for %s (service %s, rank %s, organisation %s). "+
		"The job was due in %s, and its groups and those before them needed %s of slot time where the engines had %s. Deferred groups run once there is room.",
		l.Process, l.value(observe.FieldDeferred), l.value(observe.FieldGroups), l.value(observe.FieldJob), l.value(observe.FieldWanted),
		l.value(observe.FieldService), l.value(observe.FieldRank), l.value(observe.FieldOrganisation),
		l.milliseconds(observe.FieldDueIn), l.milliseconds(observe.FieldWork), l.milliseconds(observe.FieldCapacity))
}

// value formats a field: "none" if it is empty, "unknown" if it is missing.
func (l Line) value(name string) string {
	switch v := l.Fields[name]; v {
	case nil:
		return "unknown"
	case "":
		return "none"
	default:
		return fmt.Sprint(v)
	}
}

// figure formats a number with one decimal.
func (l Line) figure(name string) string {
	if _, ok := l.Fields[name].(float64); !ok {
		return "unknown"
	}
	return fmt.Sprintf("%.1f", l.Number(name))
}

// milliseconds formats a number of milliseconds as a duration.
func (l Line) milliseconds(name string) string {
	if _, ok := l.Fields[name].(float64); !ok {
		return "an unknown time"
	}
	return time.Duration(l.Number(name) * float64(time.Millisecond)).String()
}
