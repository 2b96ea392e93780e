package settings

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// EffectiveSetting is one setting as --print-settings shows it.
type EffectiveSetting struct {
	Name   string `json:"name"`
	Env    string `json:"env"`
	Value  string `json:"value"` // secrets hidden
	Source Source `json:"source"`
}

// PrintRequested says whether the command was asked to print its settings.
func PrintRequested(cmd *cli.Command) bool { return cmd.Bool(PrintFlag) }

// Effective lists the settings as Check found them.
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
	if st.secret && st.inUse != "" {
		return hidden
	}
	return st.inUse
}

// Print writes the settings in force as a table of name, value and source.
func (s *Set) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVALUE\tSOURCE")
	for _, f := range s.Effective() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", f.Name, f.Value, f.Source)
	}
	return table.Flush()
}
