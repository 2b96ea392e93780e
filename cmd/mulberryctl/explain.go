package main

import (
	"context"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/logstory"
)

// explainCommand tells the story of an id from logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell the story of a request, batch job or item from the logs of many processes",
		ArgsUsage: "ID [FILE...]   without files, logs are read from standard input",
		Action: func(_ context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			if id == "" {
				return daemon.Usagef("name the id of a request, a batch job or an item")
			}
			return explainID(id, cmd.Args().Tail(), cmd.Root().Writer)
		},
	}
}

func explainID(id string, files []string, out io.Writer) error {
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return trace.Wrap(err, "open a log")
		}
		defer f.Close()
		logs = append(logs, f)
	}
	if len(files) == 0 {
		logs = append(logs, os.Stdin)
	}
	lines, unreadable, err := logstory.Read(logs...)
	if err != nil {
		return err
	}
	story := logstory.Tell(lines, id)
	story.Unreadable = unreadable
	return story.Write(out)
}
