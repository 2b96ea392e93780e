package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/demo"
)

// errDemoFailed makes the demo exit with a status other than 0 when a guarantee was violated.
var errDemoFailed = errors.New("a promise broke")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run entries, agents and stand-ins in this process, with one trainer step and lookups",
		UsageText: "mulberryscale demo\n" +
			"mulberryscale demo --samples 1024 --lookups 200 --seed 7",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "samples", Value: demo.DefaultSamples, Usage: fmt.Sprintf("samples in the trainer's step, 1 to %d", demo.MaxSamples)},
			&cli.IntFlag{Name: "lookups", Value: demo.DefaultLookups, Usage: fmt.Sprintf("lookups made during the step, 0 to %d", demo.MaxLookups)},
			&cli.Int64Flag{Name: "seed", Value: demo.DefaultSeed, Usage: "makes the workload repeatable"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	opts := demo.Options{
		Samples: c.Int("samples"), Lookups: c.Int("lookups"), Seed: c.Int64("seed"), Progress: os.Stderr,
	}
	if err := opts.Check(); err != nil {
		return &daemon.UsageError{Err: err}
	}
	result, err := demo.Run(ctx, opts)
	if err != nil {
		return err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Print(result.Table())
	fmt.Println(string(line))
	if !result.Passed() {
		return errDemoFailed
	}
	return nil
}
