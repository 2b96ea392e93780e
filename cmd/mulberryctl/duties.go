package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/duty"
	"mulberryscale.example/store"
)

// dutyLine is the JSON of a subject's term.
type dutyLine struct {
	Subject    string  `json:"subject"`
	Holder     string  `json:"holder"`
	Machine    string  `json:"machine"`
	Token      uint64  `json:"token"`
	AgeSeconds float64 `json:"age_seconds"`
	Piece      uint64  `json:"piece"`
	// State is "done", "acting" while its holder may still send, and "open" after that.
	State string `json:"state"`
}

// dutiesCommand shows who holds or last held each duty.
func dutiesCommand() *cli.Command {
	return &cli.Command{
		Name: "duties", Usage: "show who holds, or last held, each duty that one process at a time may do",
		Flags:  []cli.Flag{storeFlag()},
		Action: bounded(showDuties),
	}
}

func showDuties(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	s, err := client.List(ctx, store.Range{Table: duty.Table})
	if err != nil {
		return trace.Wrap(err, "read the duties")
	}
	lines := []dutyLine{}
	out := daemon.Table{Header: []string{"DUTY", "HOLDER", "MACHINE", "TOKEN", "SINCE", "PIECE", "STATE"}}
	for _, row := range s.Rows {
		term, err := duty.DecodeTerm(row.Value)
		if err != nil {
			return trace.Wrap(err, "duty %s", row.Name)
		}
		age := s.Now - term.Began
		line := dutyLine{
			Subject: row.Name, Holder: term.Fence.Holder, Machine: term.Machine, Token: term.Fence.Token,
			AgeSeconds: age.Seconds(), Piece: term.Piece, State: "open",
		}
		switch {
		case term.Done:
			line.State = "done"
		case age < duty.ActTime:
			line.State = "acting"
		}
		lines = append(lines, line)
		out.Rows = append(out.Rows, []string{
			line.Subject, line.Holder, line.Machine, fmt.Sprint(line.Token), fmt.Sprintf("%.1fs", line.AgeSeconds), fmt.Sprint(line.Piece), line.State,
		})
	}
	return write(cmd, out, lines)
}
