package loadview

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const bytesPerMB = 1 << 20

// Write prints the load as tables; it returns the writer's error.
func (l Load) Write(w io.Writer) error {
	var b strings.Builder
	if len(l.Services) == 0 {
		b.WriteString("no service has a gate\n")
	}
	for _, s := range l.Services {
		s.write(&b)
	}
	if l.HeldBytes > 0 {
		fmt.Fprintf(&b, "held for clients: %s\n", megabytes(l.HeldBytes))
	}
	writeEngines(&b, l.Engines)
	writeDeferrals(&b, l.Deferrals)
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Service) write(b *strings.Builder) {
	fmt.Fprintf(b, "service %s: %d open, %d waiting (%s), %d admitted, %d of them waited, windows allow %.1f/s\n",
		s.Name, s.Open, s.Waiting, megabytes(s.WaitingBytes), s.Admitted, s.Queued, s.Rate)
	rows := [][]string{{"RANK", "ORGANISATION", "ASKED", "WAITING", "IN TIME", "SHARE", "LATE", "REFUSED", "FAILED", "REASONS"}}
	for _, c := range s.Classes {
		rows = append(rows, []string{
			fmt.Sprint(c.Rank), cmp.Or(c.Organisation, "-"), fmt.Sprint(c.Asked), fmt.Sprint(c.Waiting), fmt.Sprint(c.InTime), share(c.InTime, c.Asked),
			fmt.Sprint(c.Late), fmt.Sprint(c.RefusedTotal()), fmt.Sprint(c.Failed), reasonsText(c.Refused),
		})
	}
	writeTable(b, rows)
	rows = [][]string{{"ENDPOINT", "STARTED", "WINDOW", "OPEN", "PROCESSES"}}
	for _, w := range s.Windows {
		rows = append(rows, []string{
			w.Endpoint, time.UnixMilli(w.StartedAt).UTC().Format(time.TimeOnly), fmt.Sprintf("%.1f", w.Limit), fmt.Sprint(w.Open), fmt.Sprint(w.Processes),
		})
	}
	writeTable(b, rows)
}

func writeEngines(b *strings.Builder, engines []Engine) {
	rows := [][]string{{"ENGINE", "SERVICE", "PACE", "SPREAD", "AGE", "IGNORED"}}
	for _, e := range engines {
		if e.Pace == 0 {
			rows = append(rows, []string{e.Address, cmp.Or(e.Service, "-"), "unknown", "-", "-", "-"})
			continue
		}
		rows = append(rows, []string{e.Address, cmp.Or(e.Service, "-"), fmt.Sprint(e.Pace), fmt.Sprint(e.Spread), seconds(e.AgeSeconds), cmp.Or(e.Ignored, "-")})
	}
	writeTable(b, rows)
}

func writeDeferrals(b *strings.Builder, deferrals []Deferral) {
	rows := [][]string{{"SERVICE", "RANK", "ORGANISATION", "JOB", "GROUPS", "WANTED", "DEFERRED", "DUE IN", "WORK", "CAPACITY"}}
	for _, d := range deferrals {
		deferred := fmt.Sprint(d.Most)
		if d.Least != d.Most {
			deferred = fmt.Sprintf("%d to %d", d.Least, d.Most)
		}
		rows = append(rows, []string{
			d.Service, fmt.Sprint(d.Rank), cmp.Or(d.Organisation, "-"), d.Job, fmt.Sprint(d.Groups), fmt.Sprint(d.Wanted), deferred,
			seconds(d.DueInSeconds), seconds(d.WorkSeconds), seconds(d.CapacitySeconds),
		})
	}
	writeTable(b, rows)
}

func seconds(s float64) string { return fmt.Sprintf("%.1fs", s) }

// writeTable prints rows with aligned columns and an indent. A table of only its header is left
// out.
func writeTable(b *strings.Builder, rows [][]string) {
	if len(rows) == 1 {
		return
	}
	tw := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tw, "  "+strings.Join(row, "\t"))
	}
	_ = tw.Flush() // a strings.Builder does not fail
}

// reasonsText lists refusals by reason, the most frequent first.
func reasonsText(refused map[string]uint64) string {
	reasons := slices.SortedFunc(maps.Keys(refused), func(a, b string) int {
		return cmp.Or(cmp.Compare(refused[b], refused[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, reason := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", reason, refused[reason]))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}

// share returns n of total as a share, "-" without any.
func share(n, total uint64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(n)/float64(total))
}

func megabytes(n int) string { return fmt.Sprintf("%.1f MB", float64(n)/bytesPerMB) }
