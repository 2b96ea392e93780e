package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/quarantine"
)

const flagRelease = "release"

// contentLine is the JSON of a content that is suspect or quarantined.
type contentLine struct {
	Content      string   `json:"content"`
	Endpoints    []string `json:"endpoints"`
	Trials       int      `json:"trials"`
	SinceSeconds float64  `json:"since_seconds"`
	State        string   `json:"state"`
	WaitSeconds  float64  `json:"wait_seconds"`
}

// quarantineCommand returns the command that shows the contents under which
// endpoints crashed, and that releases one.
func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "show the contents of requests under which endpoints crashed, or release one",
		Flags:  []cli.Flag{storeFlag(), &cli.StringFlag{Name: flagRelease, Usage: "fingerprint of the content to release"}},
		Action: withTimeout(showQuarantine),
	}
}

func showQuarantine(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	if content := cmd.String(flagRelease); content != "" {
		found, err := quarantine.Release(ctx, client, quarantine.Fingerprint(content))
		if err != nil {
			return trace.Wrap(err, "release %s", content)
		}
		if !found {
			return trace.NotFound("no endpoint has ended under content %q", content)
		}
	}
	contents, err := quarantine.List(ctx, client)
	if err != nil {
		return trace.Wrap(err, "read the quarantine")
	}
	lines := []contentLine{}
	out := daemon.Table{Header: []string{"CONTENT", "ENDED", "TRIALS", "SINCE", "STATE", "WAIT"}}
	for _, c := range contents {
		lines = append(lines, contentLine{
			Content: string(c.Fingerprint), Endpoints: c.Endpoints, Trials: c.Trials, SinceSeconds: c.Since.Seconds(),
			State: c.State.String(), WaitSeconds: c.Wait.Seconds(),
		})
		out.Rows = append(out.Rows, []string{
			string(c.Fingerprint), strings.Join(c.Endpoints, ","), fmt.Sprint(c.Trials), c.Since.Round(time.Second).String(),
			c.State.String(), c.Wait.Round(time.Second).String(),
		})
	}
	return write(cmd, out, lines)
}
