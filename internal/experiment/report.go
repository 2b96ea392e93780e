package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Options select the experiments to run and their workload.
type Options struct {
	Workload string
	// Parts are the experiments to run, such as PartSteps; all if empty.
	Parts []string
	// Duration is the length of each run of lookups, shares and overhead.
	Duration time.Duration
	Seed     uint64
	// Progress receives one line at the start of each run; nil disables them.
	Progress io.Writer
}

// Parts of the experiments.
const (
	PartSteps    = "steps"
	PartLookups  = "lookups"
	PartShares   = "shares"
	PartOverhead = "overhead"
)

// Parts returns the names of all parts.
func Parts() []string { return []string{PartSteps, PartLookups, PartShares, PartOverhead} }

// sharesFactor is how many times Options.Duration the run of shares takes: in a few seconds, a
// single straggler is a large part of an engine's work and would distort the shares.
const sharesFactor = 3

// Check returns an error if the workload or a part is unknown.
func (o *Options) Check() error {
	if _, err := LoadWorkload(o.Workload); err != nil {
		return err
	}
	for _, part := range o.Parts {
		if !slices.Contains(Parts(), part) {
			return fmt.Errorf("no part %q; there are %s", part, strings.Join(Parts(), ", "))
		}
	}
	return nil
}

// offeredLoads are the rates of lookups without trainers, relative to the capacity.
var offeredLoads = []float64{0.7, 1, 1.5, 3}

// loadBesideTrainers is the rate of lookups relative to the capacity while trainers run, and in
// the run without trainers for comparison.
const loadBesideTrainers = 0.3

// Report holds the results of the parts that ran.
type Report struct {
	Workload string          `json:"workload"`
	Seed     uint64          `json:"seed"`
	Steps    []StepResult    `json:"steps,omitempty"`
	Lookups  []LookupResult  `json:"lookups,omitempty"`
	Shares   []ShareResult   `json:"shares,omitempty"`
	Overhead *OverheadResult `json:"overhead,omitempty"`
}

// Run runs the selected experiments one after another. It returns the first error.
func Run(ctx context.Context, o Options) (*Report, error) {
	w, err := LoadWorkload(o.Workload)
	if err != nil {
		return nil, err
	}
	if len(o.Parts) == 0 {
		o.Parts = Parts()
	}
	rep := &Report{Workload: w.Name, Seed: o.Seed}
	for _, part := range o.Parts {
		if err := rep.run(ctx, &o, w, part); err != nil {
			return nil, err
		}
	}
	return rep, nil
}

func (r *Report) run(ctx context.Context, o *Options, w *Workload, part string) (err error) {
	switch part {
	case PartSteps:
		return r.runSteps(ctx, o, w)
	case PartLookups:
		return r.runLookups(ctx, o, w)
	case PartShares:
		o.progress("shares")
		r.Shares, err = RunShares(ctx, w, sharesFactor*o.Duration, o.Seed)
		return err
	case PartOverhead:
		o.progress("overhead")
		r.Overhead, err = RunOverhead(ctx, o.Duration)
	}
	return err
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}

func (r *Report) runSteps(ctx context.Context, o *Options, w *Workload) error {
	for _, f := range []Failure{FailNone, FailEngine, FailSlow} {
		for _, wait := range []float64{1, w.Trainers[0].WaitShare} {
			for _, p := range Policies() {
				o.progress("step: %s, failure %s, waiting for %g", p.Name, f, wait)
				res, err := RunStep(ctx, w, p, f, wait, o.Seed)
				if err != nil {
					return err
				}
				r.Steps = append(r.Steps, *res)
			}
		}
	}
	return nil
}

func (r *Report) runLookups(ctx context.Context, o *Options, w *Workload) error {
	run := func(offered float64, trainers int, f Failure) error {
		o.progress("lookups: %g of capacity, %d trainers, failure %s", offered, trainers, f)
		res, err := RunLookups(ctx, w, offered, trainers, f, o.Duration, o.Seed)
		if err != nil {
			return err
		}
		r.Lookups = append(r.Lookups, *res)
		return nil
	}
	for _, offered := range append([]float64{loadBesideTrainers}, offeredLoads...) {
		if err := run(offered, 0, FailNone); err != nil {
			return err
		}
	}
	if err := run(loadBesideTrainers, len(w.Trainers), FailNone); err != nil {
		return err
	}
	return run(loadBesideTrainers, len(w.Trainers), FailEngine)
}

// WriteTable writes the report as text tables, one for each part.
func (r *Report) WriteTable(out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(r.Steps) > 0 {
		fmt.Fprintln(tw, "POLICY\tFAILURE\tWAITS FOR\tSECONDS\tBOUND\tRATIO\tIDLE\tWASTED")
		for _, s := range r.Steps {
			fmt.Fprintf(tw, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\n",
				s.Policy, s.Failure, s.WaitShare, s.Seconds, s.Bound, s.Ratio, s.Idle, s.Wasted)
		}
	}
	if len(r.Lookups) > 0 {
		fmt.Fprintln(tw, "\nOFFERED\tTRAINERS\tFAILURE\tSENT\tOK\tREFUSED\tBROKEN\tGOODPUT/S\tP50 MS\tP99 MS\tP99.9 MS")
		for _, l := range r.Lookups {
			fmt.Fprintf(tw, "%.1f\t%d\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n",
				l.Offered, l.Trainers, l.Failure, l.Sent, l.OK, l.Refused, l.Broken, l.Goodput, l.P50, l.P99, l.P999)
		}
	}
	if len(r.Shares) > 0 {
		fmt.Fprintln(tw, "\nROW\tWANT\tGOT\tDEVIATION")
		for _, s := range r.Shares {
			fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%.3f\n", s.Row, s.Want, s.Got, s.Deviation)
		}
	}
	if o := r.Overhead; o != nil {
		fmt.Fprintln(tw, "\nDIRECT/S\tPATH/S\tRATIO\tDIRECT P50 MS\tPATH P50 MS\tADDED P50 MS")
		fmt.Fprintf(tw, "%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\n",
			o.DirectPerSecond, o.PathPerSecond, o.Ratio, o.DirectP50, o.PathP50, o.AddedP50)
	}
	return tw.Flush()
}
