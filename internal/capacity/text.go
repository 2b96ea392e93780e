package capacity

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// Text returns the report in aligned columns for a terminal.
func (r *Report) Text() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, role := range r.Roles {
		fmt.Fprintf(w, "ONE %s OF %d\n", strings.ToUpper(role.Name), role.Nodes)
		roleGrid(&role).text(w)
		checkGrid("budget of a node", role.Checks).text(w)
	}
	checkGrid("bound", append(r.Platform, r.Goals...)).text(w)
	dataGrid(r.Data).text(w)
	w.Flush()
	return b.String()
}

func (g *grid) text(w *tabwriter.Writer) {
	for _, row := range append([][]string{g.head}, g.rows...) {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	fmt.Fprintln(w)
}
