// Command mulberryscale runs the whole system in one process: a demo,
// experiments and the capacity page's computations.
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

	"mulberryscale.example/internal/demo"
)

// Exit statuses.
const (
	exitBroken = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:                  "mulberryscale",
		Usage:                 "rollout service for reinforcement learning, whole in one process",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{demoCommand(), experimentCommand(), capacityCommand()},
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "mulberryscale:", err)
	status := exitUsage
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		status = coder.ExitCode()
	}
	stop()
	os.Exit(status)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run entries, agents and stand-ins in this process, with one trainer step and lookups",
		UsageText: "mulberryscale demo\n" +
			"mulberryscale demo --samples 1024 --lookups 200 --seed 7",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "samples", Value: demo.DefaultSamples, Usage: fmt.Sprintf("samples of the trainer's step, 1 to %d", demo.MaxSamples)},
			&cli.IntFlag{Name: "lookups", Value: demo.DefaultLookups, Usage: fmt.Sprintf("lookups beside it, 0 to %d", demo.MaxLookups)},
			&cli.Int64Flag{Name: "seed", Value: demo.DefaultSeed, Usage: "makes the workload repeatable"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	opts := demo.Options{
		Samples: c.Int("samples"), Lookups: c.Int("lookups"), Seed: c.Int64("seed"), Progress: os.Stderr,
	}
	if err := opts.Check(); err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	result, err := demo.Run(ctx, opts)
	if err != nil {
		return cli.Exit(err.Error(), exitBroken)
	}
	line, err := json.Marshal(result)
	if err != nil {
		return cli.Exit(err.Error(), exitBroken)
	}
	fmt.Print(result.Table())
	fmt.Println(string(line))
	if !result.Kept() {
		return cli.Exit("a promise broke", exitBroken)
	}
	return nil
}
