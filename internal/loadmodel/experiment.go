package loadmodel

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// lateThreshold is the time after which an answer to an interactive request counts
// as late, six times the request's mean service time.
const lateThreshold = 150 * time.Millisecond

// Figure is a mean over seeds with half the width of its 95% confidence interval.
type Figure struct{ Mean, Error float64 }

// normal95 is the quantile of the normal distribution for a 95% interval.
const normal95 = 1.96

// figure returns the mean of values with its 95% confidence interval.
func figure(values []float64) Figure {
	f := Figure{Mean: stat.Mean(values, nil)}
	if len(values) > 1 {
		f.Error = normal95 * stat.StdErr(stat.StdDev(values, nil), float64(len(values)))
	}
	return f
}

// Row is the result of one policy under one pattern.
type Row struct {
	Pattern, Policy string
	// InteractiveP99 and Alone are the 99th percentile of interactive requests in
	// milliseconds, with and without background calls; Late is the share of
	// interactive requests that took more than 150 ms.
	InteractiveP99, Alone, Late Figure
	// BackgroundP50 and BackgroundP99 are percentiles of background calls in
	// milliseconds.
	BackgroundP50, BackgroundP99 Figure
	// Work is the mean number of slots busy with requests that were served, Jain
	// the fairness index of the senders' answered background calls.
	Work, Jain Figure
}

// Simulate runs a pattern under a policy with the seeds 1 to seeds. It returns an
// error if the pattern or the policy is unknown.
func Simulate(pattern, policy string, seeds int) (Row, error) {
	p, known := Patterns()[pattern]
	if !known {
		return Row{}, fmt.Errorf("no pattern %q, there are %v", pattern, Names(Patterns()))
	}
	newLimiter, known := Policies()[policy]
	if !known {
		return Row{}, fmt.Errorf("no policy %q, there are %v", policy, Names(Policies()))
	}
	var p99, alone, late, background50, background99, work, jain []float64
	for seed := range uint64(seeds) {
		r, a := Run(p, newLimiter, seed+1), Run(WithoutBackground(p), newLimiter, seed+1)
		p99 = append(p99, ms(r.Interactive.Quantile(0.99)))
		alone = append(alone, ms(a.Interactive.Quantile(0.99)))
		late = append(late, r.Interactive.Over(lateThreshold))
		background50 = append(background50, ms(r.Background.Quantile(0.5)))
		background99 = append(background99, ms(r.Background.Quantile(0.99)))
		work = append(work, r.Work/p.Length.Seconds())
		jain = append(jain, Jain(r.Finished))
	}
	return Row{
		Pattern: pattern, Policy: policy, InteractiveP99: figure(p99), Alone: figure(alone), Late: figure(late),
		BackgroundP50: figure(background50), BackgroundP99: figure(background99), Work: figure(work), Jain: figure(jain),
	}, nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteTable prints rows with their confidence intervals.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "PATTERN\tPOLICY\tINTERACTIVE P99 MS\tALONE\tLATE\tBACKGROUND P50 MS\tP99\tPLACES BUSY\tJAIN")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.0f ± %.0f\t%.0f ± %.0f\t%.3f ± %.3f\t%.0f ± %.0f\t%.0f ± %.0f\t%.1f ± %.1f\t%.3f\n", r.Pattern, r.Policy,
			r.InteractiveP99.Mean, r.InteractiveP99.Error, r.Alone.Mean, r.Alone.Error, r.Late.Mean, r.Late.Error,
			r.BackgroundP50.Mean, r.BackgroundP50.Error, r.BackgroundP99.Mean, r.BackgroundP99.Error,
			r.Work.Mean, r.Work.Error, r.Jain.Mean)
	}
	return t.Flush()
}

// Sizes of plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 0.5 * vg.Centimeter
)

// Plot writes a PNG with the share of late interactive requests of each policy by
// pattern.
func Plot(rows []Row, path string) error {
	p := plot.New()
	p.Title.Text = "interactive requests over 150 ms beside background calls"
	p.Y.Label.Text = "share"
	p.Y.Min = 0
	p.Legend.Top = true
	var patterns, policies []string
	values := map[string]plotter.Values{}
	for _, r := range rows {
		if len(values[r.Policy]) == 0 {
			policies = append(policies, r.Policy)
		}
		values[r.Policy] = append(values[r.Policy], r.Late.Mean)
		if r.Policy == policies[0] {
			patterns = append(patterns, r.Pattern)
		}
	}
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(values[policy], barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i-len(policies)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(patterns...)
	return p.Save(plotWidth, plotHeight, path)
}
