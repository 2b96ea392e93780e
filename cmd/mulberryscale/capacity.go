package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/capacity"
)

// Output formats of the capacity command.
const (
	capacityTable    = "table"
	capacityJSON     = "json"
	capacityMarkdown = "markdown"
)

func capacityCommand() *cli.Command {
	size := capacity.PlannedSize()
	return &cli.Command{
		Name:  "capacity",
		Usage: "compute what each role costs at a given size, from measured slopes",
		UsageText: "mulberryscale capacity\n" +
			"mulberryscale capacity --entries 3 --agents 15\n" +
			"mulberryscale capacity --output markdown",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Value: size.Entries, Usage: "entry instances"},
			&cli.IntFlag{Name: "agents", Value: size.Agents, Usage: "agents, one for each endpoint"},
			&cli.IntFlag{Name: "rows", Value: size.Rows, Usage: "rows of the table"},
			&cli.Float64Flag{Name: "requests", Value: size.RequestsPerSecond, Usage: "requests a second at the peak"},
			&cli.Float64Flag{Name: "tokens", Value: size.TokensPerSecond, Usage: "tokens generated a second at the peak"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: capacityTable, Usage: "output format: table, json or markdown"},
		},
		Action: runCapacity,
	}
}

func runCapacity(_ context.Context, c *cli.Command) error {
	size, err := capacitySize(c)
	if err != nil {
		return err
	}
	slopes, err := capacity.LoadSlopes()
	if err != nil {
		return err
	}
	report := capacity.Compute(size, capacity.PlannedBudget(), capacity.PlannedPlatform(), slopes)
	switch c.String("output") {
	case capacityTable:
		fmt.Print(report.Text())
	case capacityMarkdown:
		fmt.Print(report.Markdown())
	case capacityJSON:
		return json.NewEncoder(os.Stdout).Encode(report)
	default:
		return daemon.Usagef("output must be table, json or markdown, not %q", c.String("output"))
	}
	return nil
}

// capacitySize returns the size set by the flags, or a usage error.
func capacitySize(c *cli.Command) (capacity.Design, error) {
	size := capacity.PlannedSize()
	size.Entries, size.Agents, size.Rows = c.Int("entries"), c.Int("agents"), c.Int("rows")
	size.RequestsPerSecond, size.TokensPerSecond = c.Float64("requests"), c.Float64("tokens")
	if err := size.Check(); err != nil {
		return size, daemon.Usagef("%v", err)
	}
	return size, nil
}
