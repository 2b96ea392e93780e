package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/experiment"
)

const (
	defaultExperimentTime = 8 * time.Second
	minExperimentTime     = time.Second
	maxExperimentTime     = 10 * time.Minute
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure step time, goodput, shares and overhead on stand-ins",
		UsageText: "mulberryscale experiment --workload qalhat\n" +
			"mulberryscale experiment --part steps --seed 3 --plot plots --output json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "workload", Value: "qalhat", Usage: "one of " + strings.Join(experiment.WorkloadNames(), ", ")},
			&cli.StringSliceFlag{Name: "part", Usage: "part to run, all by default: " + strings.Join(experiment.Parts(), ", ")},
			&cli.DurationFlag{Name: "time", Value: defaultExperimentTime, Usage: "length of each run except the steps"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "makes the workload repeatable"},
			&cli.StringFlag{Name: "plot", Usage: "existing directory for plots as PNG; none by default"},
			daemon.OutputFlag(),
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if d := c.Duration("time"); d < minExperimentTime || d > maxExperimentTime {
		return daemon.Usagef("time must be between %v and %v, not %v", minExperimentTime, maxExperimentTime, d)
	}
	opts := experiment.Options{
		Workload: c.String("workload"), Parts: c.StringSlice("part"), Duration: c.Duration("time"),
		Seed: c.Uint64("seed"), Progress: os.Stderr,
	}
	if err := opts.Check(); err != nil {
		return &daemon.UsageError{Err: err}
	}
	report, err := experiment.Run(ctx, opts)
	if err != nil {
		return err
	}
	if dir := c.String("plot"); dir != "" {
		if err := plotReport(report, dir); err != nil {
			return err
		}
	}
	if daemon.OutputOf(c) == daemon.OutputJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteTable(os.Stdout)
}

func plotReport(report *experiment.Report, dir string) error {
	if len(report.Steps) > 0 {
		if err := report.PlotSteps(filepath.Join(dir, "steps.png")); err != nil {
			return err
		}
	}
	if len(report.Lookups) > 0 {
		return report.PlotGoodput(filepath.Join(dir, "goodput.png"))
	}
	return nil
}
