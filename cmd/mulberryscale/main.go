// Command mulberryscale runs the whole system in one process: a demo and
// experiments. It also computes the load model and the capacity plan.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
)

func main() {
	root := &cli.Command{
		Name:  "mulberryscale",
		Usage: "rollout service for reinforcement learning, all in one process",
		Commands: []*cli.Command{
			demoCommand(),
			experimentCommand(),
			modelCommand(),
			capacityCommand(),
		},
	}
	os.Exit(daemon.Main(root, os.Args, os.Stderr))
}
