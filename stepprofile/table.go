package stepprofile

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Write prints a table of the steps, and for each part its median, its 99th
// percentile and its share of the total time of all steps.
func Write(w io.Writer, steps []Step) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "JOB\tMODEL\tSTEP\tITEMS\tTOOK\tITEM\tEVENTS\tRUNS")
	for _, p := range Parts {
		fmt.Fprintf(table, "\t%s", p)
	}
	fmt.Fprintln(table)
	for _, s := range steps {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%d", s.Job, s.Model, s.Number, s.Items, seconds(s.Took), s.Item, s.Events, s.Runs)
		for _, p := range Parts {
			fmt.Fprintf(table, "\t%s", seconds(s.Parts[p]))
		}
		fmt.Fprintln(table)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "PART\tP50\tP99\tSHARE")
	var total time.Duration
	for _, s := range steps {
		total += s.Took
	}
	for _, p := range Parts {
		var times []time.Duration
		var sum time.Duration
		for _, s := range steps {
			times = append(times, s.Parts[p])
			sum += s.Parts[p]
		}
		slices.Sort(times)
		share := 0.0
		if total > 0 {
			share = float64(sum) / float64(total)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f%%\n", p, seconds(quantile(times, 0.5)), seconds(quantile(times, 0.99)), 100*share)
	}
	return table.Flush()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// quantile returns quantile q, 0 to 1, of sorted durations; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
