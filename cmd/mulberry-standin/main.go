// Command mulberry-standin runs a stand-in of a platform service as a process,
// for the demo and for tests. It is not part of the product.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
)

func main() {
	os.Exit(daemon.Main(rootCommand(), os.Args, os.Stderr))
}

// rootCommand returns the command line, with one subcommand for each stand-in.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "mulberry-standin",
		Usage: "run a stand-in of a platform service, for the demo and for tests",
		Description: "Example: mulberry-standin engine --listen 127.0.0.1:9101 --model guide=1\n" +
			"Faults are switched on by POST /faults, for example {\"kind\":\"slow\",\"factor\":4}.\n" +
			"Prints one line \"listening <ip:port>\" on stdout. SIGTERM waits for the running calls.",
		Action: unknownCommand,
		Commands: []*cli.Command{
			engineCommand(), serviceCommand(), scorerCommand(), tableCommand(),
			objectsCommand(), instancesCommand(), weightsCommand(),
		},
	}
}

// unknownCommand shows the help, or refuses a name that is not a subcommand.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return daemon.Usagef("no such stand-in: %q", c.Args().First())
	}
	return cli.ShowRootCommandHelp(c)
}
