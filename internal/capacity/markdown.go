package capacity

import (
	"fmt"
	"strings"
)

// Units of the memory cells.
const (
	kib = 1 << 10
	mib = 1 << 20
)

// grid is a table of text cells.
type grid struct {
	head []string
	rows [][]string
}

func (g *grid) add(cells ...string) { g.rows = append(g.rows, cells) }

func (g *grid) markdown(b *strings.Builder) {
	fmt.Fprintf(b, "| %s |\n|%s\n", strings.Join(g.head, " | "), strings.Repeat("---|", len(g.head)))
	for _, row := range g.rows {
		fmt.Fprintf(b, "| %s |\n", strings.Join(row, " | "))
	}
	b.WriteString("\n")
}

// Markdown returns the report as the tables of docs/CAPACITY.md.
func (r *Report) Markdown() string {
	var b strings.Builder
	for _, role := range r.Roles {
		fmt.Fprintf(&b, "### One %s of %d: control\n\n", role.Name, role.Nodes)
		g := roleGrid(&role)
		g.markdown(&b)
		checkGrid("budget of a node", role.Checks).markdown(&b)
	}
	b.WriteString("### The platform and the goals\n\n")
	checkGrid("bound", append(r.Platform, r.Goals...)).markdown(&b)
	b.WriteString("### The data path\n\n")
	dataGrid(r.Data).markdown(&b)
	b.WriteString("### The slopes\n\n")
	slopeGrid(r.Slopes).markdown(&b)
	return b.String()
}

func roleGrid(role *Role) *grid {
	g := &grid{head: []string{"what", "messages/s", "bytes/s", "share of a core", "memory", "table reads/s", "table writes/s", "mechanism"}}
	for _, l := range append(role.Lines, role.Total) {
		g.add(l.What, number(l.Messages), fmt.Sprintf("%.0f", l.Bytes), percent(l.CPU), size(l.Memory), number(l.Reads), number(l.Writes), l.Mechanism)
	}
	return g
}

func checkGrid(head string, checks []LimitCheck) *grid {
	g := &grid{head: []string{head, "worked out", "bound", "verdict"}}
	for _, v := range checks {
		g.add(v.What, number(v.Value), number(v.Bound), v.String())
	}
	return g
}

func dataGrid(figures []Figure) *grid {
	g := &grid{head: []string{"what", "value", "unit", "from"}}
	for _, f := range figures {
		g.add(f.What, number(f.Value), f.Unit, f.From)
	}
	return g
}

func slopeGrid(slopes []*Slope) *grid {
	g := &grid{head: []string{"slope", "unit", "base", "for each of", "adds", "sizes measured", "error", "benchmark"}}
	for _, s := range slopes {
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%g", p.N))
		}
		g.add(s.Name, s.Unit, fmt.Sprintf("%.3g", s.Base), s.By, fmt.Sprintf("%.3g", s.PerUnit), strings.Join(sizes, ", "), percent(s.Error), s.Benchmark)
	}
	return g
}

func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func percent(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }

func size(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < mib:
		return fmt.Sprintf("%.0f KB", v/kib)
	}
	return fmt.Sprintf("%.1f MB", v/mib)
}
