package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/loadmodel"
)

const (
	defaultModelSeeds = 5
	maxModelSeeds     = 1000
)

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "simulate loads in virtual time and compare limits on background calls",
		UsageText: "mulberryscale model --pattern short-desk --policy none --policy window\n" +
			"mulberryscale model --seeds 20 --plot model.png --output json",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pattern", Usage: "load to simulate, all by default: " + strings.Join(loadmodel.Names(loadmodel.Patterns()), ", ")},
			&cli.StringSliceFlag{Name: "policy", Usage: "limit on background calls, all by default: " + strings.Join(loadmodel.Names(loadmodel.Policies()), ", ")},
			&cli.IntFlag{Name: "seeds", Value: defaultModelSeeds, Usage: "simulated days for each pair of load and limit"},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot as PNG; none by default"},
			daemon.OutputFlag(),
		},
		Action: runModel,
	}
}

func runModel(_ context.Context, c *cli.Command) error {
	seeds := c.Int("seeds")
	if seeds < 1 || seeds > maxModelSeeds {
		return daemon.Usagef("seeds must be between 1 and %d, not %d", maxModelSeeds, seeds)
	}
	patterns, policies := c.StringSlice("pattern"), c.StringSlice("policy")
	if len(patterns) == 0 {
		patterns = loadmodel.Names(loadmodel.Patterns())
	}
	if len(policies) == 0 {
		policies = loadmodel.Names(loadmodel.Policies())
	}
	var rows []loadmodel.Row
	for _, pattern := range patterns {
		for _, policy := range policies {
			row, err := loadmodel.Simulate(pattern, policy, seeds)
			if err != nil {
				return &daemon.UsageError{Err: err}
			}
			rows = append(rows, row)
		}
	}
	if path := c.String("plot"); path != "" {
		if err := loadmodel.Plot(rows, path); err != nil {
			return err
		}
	}
	if daemon.OutputOf(c) == daemon.OutputJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return loadmodel.WriteTable(os.Stdout, rows)
}
