package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// Output is the format in which a command prints its result.
type Output string

// Output formats.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

const outputFlag = "output"

// Table is a human-readable result.
type Table struct {
	Header []string
	Rows   [][]string
}

// OutputFlag returns the flag --output, whose value OutputOf reads.
func OutputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    outputFlag,
		Aliases: []string{"o"},
		Usage:   "form of the result: table or json",
		Value:   string(OutputTable),
		Validator: func(text string) error {
			if Output(text) != OutputTable && Output(text) != OutputJSON {
				return fmt.Errorf("want table or json, got %q", text)
			}
			return nil
		},
	}
}

// OutputOf returns the output format that a command was called with.
func OutputOf(cmd *cli.Command) Output { return Output(cmd.String(outputFlag)) }

// Write writes table with aligned columns, or value as one line of JSON.
func (o Output) Write(w io.Writer, table Table, value any) error {
	if o == OutputJSON {
		return json.NewEncoder(w).Encode(value)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(table.Header) > 0 {
		fmt.Fprintln(tw, strings.Join(table.Header, "\t"))
	}
	for _, row := range table.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}
