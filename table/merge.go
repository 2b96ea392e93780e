package table

import "fmt"

// Conflict is a cell, or a whole row, that two edits of the same base changed
// differently.
type Conflict struct {
	Row string `json:"row"`
	// Column is empty when one edit removed the row that the other changed.
	Column string `json:"column,omitempty"`
	Base   string `json:"base"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// String formats the conflict in one line.
func (c Conflict) String() string {
	where := c.Row
	if c.Column != "" {
		where += "." + c.Column
	}
	return fmt.Sprintf("! %s: base %q, mine %q, theirs %q", where, c.Base, c.Mine, c.Theirs)
}

// removedRow marks the side that removed the row in a Conflict of a whole row.
const removedRow = "(removed)"

// Merge is the result of a three-way merge of two edits.
type Merge struct {
	// Rows hold both edits; where they conflict they hold theirs. They are not
	// checked: two edits that are valid separately may be invalid together.
	Rows []Row
	// Conflicts lists what the operator must resolve.
	Conflicts []Conflict
}

// Merge3 merges two edits of base by row and cell. The order of rows is that of
// theirs, followed by the rows that only mine has. It fails only if a cell of
// unchecked rows has an invalid value.
func Merge3(base, mine, theirs []Row) (Merge, error) {
	m := merger{base: byName(base), mine: byName(mine), theirs: byName(theirs)}
	for i := range theirs {
		if err := m.mergeRow(theirs[i].Name); err != nil {
			return Merge{}, err
		}
	}
	for i := range mine {
		if _, ok := m.theirs[mine[i].Name]; ok {
			continue
		}
		if err := m.mergeRow(mine[i].Name); err != nil {
			return Merge{}, err
		}
	}
	return m.out, nil
}

type merger struct {
	base, mine, theirs map[string]*Row
	out                Merge
}

// mergeRow merges the rows of one name, which mine, theirs or both have.
func (m *merger) mergeRow(name string) error {
	base, mine, theirs := m.base[name], m.mine[name], m.theirs[name]
	switch {
	case mine == nil:
		m.mergeOneSided(name, theirs, base, theirs)
	case theirs == nil:
		m.mergeOneSided(name, mine, base, nil)
	default:
		return m.mergeCells(base, mine, theirs)
	}
	return nil
}

// mergeOneSided merges a row that only one edit has: it is new, or the other edit
// removed it. If this edit changed a row that the other removed, that is a conflict
// and the result has onConflict, or no row if that is nil.
func (m *merger) mergeOneSided(name string, row, base, onConflict *Row) {
	if base == nil {
		m.out.Rows = append(m.out.Rows, *row)
		return
	}
	if len(diffCells(base, row)) == 0 {
		return // removed by the other edit, unchanged in this one
	}
	conflict := Conflict{Row: name, Base: describe(base), Mine: removedRow, Theirs: removedRow}
	if onConflict != nil {
		conflict.Theirs = describe(row)
		m.out.Rows = append(m.out.Rows, *onConflict)
	} else {
		conflict.Mine = describe(row)
	}
	m.out.Conflicts = append(m.out.Conflicts, conflict)
}

// mergeCells merges a row that both edits have. If both added the row, every cell
// in which they differ is a conflict.
func (m *merger) mergeCells(base, mine, theirs *Row) error {
	baseCells := make([]string, len(columns))
	if base != nil {
		baseCells = cellsOf(base)
	}
	mineCells, theirCells := cellsOf(mine), cellsOf(theirs)
	merged := make([]string, len(columns))
	for i := range columns {
		b, mi, th := baseCells[i], mineCells[i], theirCells[i]
		merged[i] = th
		switch {
		case mi == th:
		case base != nil && mi == b:
		case base != nil && th == b:
			merged[i] = mi
		default:
			m.out.Conflicts = append(m.out.Conflicts, Conflict{
				Row: theirs.Name, Column: columns[i].name, Base: b, Mine: mi, Theirs: th,
			})
		}
	}
	row, err := rowOf(merged)
	if err != nil {
		return fmt.Errorf("row %q: %w", theirs.Name, err)
	}
	m.out.Rows = append(m.out.Rows, row)
	return nil
}

// rowOf parses cells, in the order of columns, into a row.
func rowOf(cells []string) (Row, error) {
	var row Row
	for i := range columns {
		if cells[i] == "" {
			continue
		}
		if err := columns[i].set(&row, cells[i]); err != nil {
			return Row{}, fmt.Errorf("column %q: %w", columns[i].name, err)
		}
	}
	if row.Kind != KindPlain {
		row.Repeatable = true
	}
	return row, nil
}
