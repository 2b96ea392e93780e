package table

import (
	"fmt"
	"strings"
)

// ChangeKind says how a row or cell differs.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"   // the row is new
	ChangeRemoved ChangeKind = "removed" // the row is gone
	ChangeCell    ChangeKind = "changed" // one cell has a different value
)

// Change is one difference between two tables.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Row  string     `json:"row"`
	// Column is empty for a whole row.
	Column string `json:"column,omitempty"`
	// Old and New are the cell's values, or for a whole row its non-empty cells.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Row, c.New)
	case ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Row, c.Old)
	}
	return fmt.Sprintf("~ %s.%s: %q -> %q", c.Row, c.Column, c.Old, c.New)
}

// Diff lists the differences by row and column: first for the rows of old in their
// order, then the rows that new adds. A different order of rows is not a change.
func Diff(old, new []Row) []Change {
	var changes []Change
	newByName := byName(new)
	for i := range old {
		before := &old[i]
		after, ok := newByName[before.Name]
		if !ok {
			changes = append(changes, Change{Kind: ChangeRemoved, Row: before.Name, Old: describe(before)})
			continue
		}
		changes = append(changes, diffCells(before, after)...)
	}
	oldByName := byName(old)
	for i := range new {
		if _, ok := oldByName[new[i].Name]; !ok {
			changes = append(changes, Change{Kind: ChangeAdded, Row: new[i].Name, New: describe(&new[i])})
		}
	}
	return changes
}

func diffCells(old, new *Row) []Change {
	var changes []Change
	oldCells, newCells := cellsOf(old), cellsOf(new)
	for i := range columns {
		if oldCells[i] == newCells[i] {
			continue
		}
		changes = append(changes, Change{
			Kind:   ChangeCell,
			Row:    old.Name,
			Column: columns[i].name,
			Old:    oldCells[i],
			New:    newCells[i],
		})
	}
	return changes
}

// describe formats a row's non-empty cells except its name.
func describe(r *Row) string {
	var parts []string
	for i, cell := range cellsOf(r) {
		if cell == "" || columns[i].name == ColumnName {
			continue
		}
		parts = append(parts, columns[i].name+"="+cell)
	}
	return strings.Join(parts, " ")
}

func byName(rows []Row) map[string]*Row {
	m := make(map[string]*Row, len(rows))
	for i := range rows {
		m[rows[i].Name] = &rows[i]
	}
	return m
}
