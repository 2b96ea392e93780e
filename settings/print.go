package settings

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// EffectiveSetting is the value of one setting as --print-settings shows it.
type EffectiveSetting struct {
	Name   string `json:"name"`
	Env    string `json:"env"`
	Value  string `json:"value"` // secrets are masked
	Source Source `json:"source"`
}

// PrintRequested reports whether the command was called with PrintFlag.
func PrintRequested(cmd *cli.Command) bool { return cmd.Bool(PrintFlag) }

// Effective lists all settings with the values that Check read.
func (s *Set) Effective() []EffectiveSetting {
	list := make([]EffectiveSetting, 0, len(s.settings))
	for _, st := range s.settings {
		list = append(list, EffectiveSetting{
			Name:   st.name,
			Env:    EnvName(st.name),
			Value:  st.printable(),
			Source: st.source,
		})
	}
	return list
}

func (st *setting) printable() string {
	if st.secret && st.text != "" {
		return hiddenValue
	}
	return st.text
}

// Print writes the effective settings as a table of name, value and source.
func (s *Set) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVALUE\tSOURCE")
	for _, f := range s.Effective() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", f.Name, f.Value, f.Source)
	}
	return table.Flush()
}
