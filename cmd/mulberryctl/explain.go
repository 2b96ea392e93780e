package main

import (
	"context"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/logstory"
	"mulberryscale.example/stepprofile"
)

// explainCommand returns the command that prints the timeline of an id from logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the timeline of a request, batch job or item from the logs of many processes",
		ArgsUsage: "ID [FILE...]   without files, logs are read from standard input",
		Action: func(_ context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			if id == "" {
				return daemon.Usagef("name the id of a request, a batch job or an item")
			}
			return explainID(id, cmd.Args().Tail(), cmd.Root().Reader, cmd.Root().Writer)
		},
	}
}

// profileCommand returns the command that breaks down the time of steps from logs.
func profileCommand() *cli.Command {
	return &cli.Command{
		Name:      "profile",
		Usage:     "break down the time of each step, from the logs of many processes",
		ArgsUsage: "[FILE...]   without files, logs are read from standard input",
		Action: func(_ context.Context, cmd *cli.Command) error {
			lines, _, err := readLogs(cmd.Args().Slice(), cmd.Root().Reader)
			if err != nil {
				return err
			}
			steps := stepprofile.Steps(lines)
			if len(steps) == 0 {
				return trace.NotFound("no step whose acceptance and end are in the logs")
			}
			return stepprofile.Write(cmd.Root().Writer, steps)
		},
	}
}

// readLogs parses the named log files, or in if there are none. unreadable counts
// the lines that could not be parsed.
func readLogs(files []string, in io.Reader) (lines []logstory.Line, unreadable int, err error) {
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, trace.Wrap(err, "open a log")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(files) == 0 {
		logs = append(logs, in)
	}
	return logstory.Read(logs...)
}

func explainID(id string, files []string, in io.Reader, out io.Writer) error {
	lines, unreadable, err := readLogs(files, in)
	if err != nil {
		return err
	}
	timeline := logstory.Build(lines, id)
	timeline.Unreadable = unreadable
	return timeline.Write(out)
}
