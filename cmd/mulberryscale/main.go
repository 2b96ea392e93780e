// Command mulberryscale runs the whole system in one process: a demo,
// experiments and the capacity page's computations.
package main

import (
	"os"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
)

func main() {
	root := &cli.Command{
		Name:  "mulberryscale",
		Usage: "rollout service for reinforcement learning, whole in one process",
		Commands: []*cli.Command{
			demoCommand(),
			experimentCommand(),
			modelCommand(),
			capacityCommand(),
		},
	}
	os.Exit(daemon.Main(root, os.Args, os.Stderr))
}
