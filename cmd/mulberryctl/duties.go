package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/duty"
	"mulberryscale.example/scaling"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
	"mulberryscale.example/usage"
)

// dutyLine is the JSON of a duty's current or last term.
type dutyLine struct {
	Subject    string  `json:"subject"`
	Holder     string  `json:"holder"`
	Machine    string  `json:"machine"`
	Token      uint64  `json:"token"`
	AgeSeconds float64 `json:"age_seconds"`
	Piece      uint64  `json:"piece"`
	// State is "done", "acting" while the holder may still send, or "open" once the
	// term has expired with the work not done.
	State string `json:"state"`
	// Work describes the work that was decided for the piece.
	Work string `json:"work"`
}

// describeWork decodes and describes a term's work. The subject determines its type.
func describeWork(subject string, work []byte) (string, error) {
	if strings.HasPrefix(subject, scaling.SubjectPrefix) {
		var order scaling.Order
		if err := codec.Unmarshal(work, &order); err != nil {
			return "", trace.Wrap(err, "order")
		}
		return fmt.Sprintf("%d endpoints", order.Endpoints), nil
	}
	var report usage.Report
	if err := codec.Unmarshal(work, &report); err != nil {
		return "", trace.Wrap(err, "usage report")
	}
	var requests uint64
	for _, n := range report.Counts {
		requests += n
	}
	return fmt.Sprintf("%d requests of %d organisations", requests, len(report.Counts)), nil
}

// dutiesCommand returns the command that shows who holds or last held each duty.
func dutiesCommand() *cli.Command {
	return &cli.Command{
		Name: "duties", Usage: "show who holds, or last held, each duty that only one process at a time may perform",
		Flags:  []cli.Flag{storeFlag()},
		Action: withTimeout(showDuties),
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
	out := daemon.Table{Header: []string{"DUTY", "HOLDER", "MACHINE", "TOKEN", "SINCE", "PIECE", "STATE", "WORK"}}
	for _, row := range s.Rows {
		term, err := duty.DecodeTerm(row.Value)
		if err != nil {
			return trace.Wrap(err, "duty %s", row.Name)
		}
		work, err := describeWork(row.Name, term.Work)
		if err != nil {
			return trace.Wrap(err, "duty %s", row.Name)
		}
		age := s.Now - term.Began
		line := dutyLine{
			Subject: row.Name, Holder: term.Fence.Holder, Machine: term.Machine, Token: term.Fence.Token,
			AgeSeconds: age.Seconds(), Piece: term.Piece, State: "open", Work: work,
		}
		switch {
		case term.Done:
			line.State = "done"
		case age < duty.TermDuration:
			line.State = "acting"
		}
		lines = append(lines, line)
		out.Rows = append(out.Rows, []string{
			line.Subject, line.Holder, line.Machine, fmt.Sprint(line.Token), fmt.Sprintf("%.1fs", line.AgeSeconds), fmt.Sprint(line.Piece), line.State, line.Work,
		})
	}
	return write(cmd, out, lines)
}
