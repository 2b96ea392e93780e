package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

// write prints a result in the format set by --output.
func write(cmd *cli.Command, out daemon.Table, value any) error {
	return daemon.OutputOf(cmd).Write(cmd.Root().Writer, out, value)
}

// entryResult is the JSON of apply and rollback.
type entryResult struct {
	Result string `json:"result"`
	tablestore.Entry
}

func printEntry(cmd *cli.Command, result string, entry tablestore.Entry) error {
	text := fmt.Sprintf("%s: version %d", result, entry.Version)
	return write(cmd, daemon.Table{Rows: [][]string{{text}}}, entryResult{result, entry})
}

func printChanges(cmd *cli.Command, changes []table.Change) error {
	out := daemon.Table{}
	for _, c := range changes {
		out.Rows = append(out.Rows, []string{c.String()})
	}
	if changes == nil {
		changes = []table.Change{}
	}
	return write(cmd, out, changes)
}

// versionResult is the JSON of get and history.
type versionResult struct {
	tablestore.Entry
	Format string `json:"format"`
	Text   string `json:"text,omitempty"`
}

func printDocument(cmd *cli.Command, doc tablestore.Document) error {
	return write(cmd, daemon.Table{}, versionResult{Entry: doc.Entry, Format: doc.Format, Text: string(doc.Body)})
}

func printHistory(cmd *cli.Command, docs []tablestore.Document) error {
	out := daemon.Table{Header: []string{"VERSION", "BASE", "ACCEPTED", "AUTHOR", "ROLLBACK OF", "APPLY ID"}}
	results := []versionResult{}
	for _, doc := range docs {
		results = append(results, versionResult{Entry: doc.Entry, Format: doc.Format})
		rollback := ""
		if doc.RollbackOf > 0 {
			rollback = fmt.Sprint(doc.RollbackOf)
		}
		out.Rows = append(out.Rows, []string{
			fmt.Sprint(doc.Version),
			fmt.Sprint(doc.Base),
			doc.AcceptedAt.Format(time.RFC3339),
			doc.Author,
			rollback,
			doc.ApplyID,
		})
	}
	return write(cmd, out, results)
}

// conflictResult is the JSON of a refused apply.
type conflictResult struct {
	Result    string           `json:"result"`
	Base      uint64           `json:"base"`
	Current   tablestore.Entry `json:"current"`
	Mine      []table.Change   `json:"mine"`
	Theirs    []table.Change   `json:"theirs"`
	Conflicts []table.Conflict `json:"conflicts"`
}

func printConflict(cmd *cli.Command, e *tablestore.ConflictError) error {
	out := daemon.Table{Header: []string{"WHOSE", "DIFFERENCE TO VERSION " + fmt.Sprint(e.Base)}}
	for _, c := range e.Mine {
		out.Rows = append(out.Rows, []string{"mine", c.String()})
	}
	for _, c := range e.Theirs {
		out.Rows = append(out.Rows, []string{"theirs", c.String()})
	}
	for _, c := range e.Merge.Conflicts {
		out.Rows = append(out.Rows, []string{"both", c.String()})
	}
	return write(cmd, out, conflictResult{
		Result:    "conflict",
		Base:      e.Base,
		Current:   e.Current,
		Mine:      e.Mine,
		Theirs:    e.Theirs,
		Conflicts: e.Merge.Conflicts,
	})
}
