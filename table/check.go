package table

import "fmt"

// record is one row as read from a file, before its cells are parsed.
type record struct {
	line int
	// cells are in the order of columns; absent cells are empty.
	cells []string
	// malformed rows already have an error; only their name and kind are read, for
	// the rows that refer to them.
	malformed bool
}

// Check validates rows that were created by a program as Parse validates a file.
// The error is of type Errors.
func Check(rows []Row) error {
	records := make([]record, len(rows))
	for i := range rows {
		records[i] = record{cells: cellsOf(&rows[i])}
	}
	_, errs := fromRecords(records)
	return errs.errOrNil()
}

// cellsOf returns a row's cells in the order of columns.
func cellsOf(r *Row) []string {
	cells := make([]string, len(columns))
	for i := range columns {
		cells[i] = columns[i].get(r)
	}
	return cells
}

// checker collects the rows and errors of one table.
type checker struct {
	records []record
	rows    []Row
	errs    Errors
}

// fromRecords parses and validates all records of a table.
func fromRecords(records []record) ([]Row, Errors) {
	c := &checker{records: records, rows: make([]Row, len(records))}
	if len(records) == 0 {
		c.errs = append(c.errs, CellError{Message: "the table has no rows"})
	}
	if len(records) > MaxRows {
		c.errs = append(c.errs, CellError{Message: fmt.Sprintf("%d rows, more than %d", len(records), MaxRows)})
		return nil, c.errs
	}
	for i := range records {
		c.readRow(i)
	}
	c.checkNames()
	c.checkScorers()
	c.inheritSwap()
	if len(c.errs) > 0 {
		return nil, c.errs
	}
	return c.rows, nil
}

func (c *checker) addError(i int, column, format string, args ...any) {
	c.errs = append(c.errs, CellError{
		Line:    c.records[i].line,
		Row:     c.rowName(i),
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) rowName(i int) string {
	const nameIndex = 0
	return c.records[i].cells[nameIndex]
}

// readRow parses a record. It parses the kind first, since the kind decides which
// other columns are used.
func (c *checker) readRow(i int) {
	row := &c.rows[i]
	rec := &c.records[i]
	kindIndex, _ := columnIndex(ColumnKind)
	kindKnown := columns[kindIndex].set(row, rec.cells[kindIndex]) == nil
	if rec.malformed {
		row.Name = c.rowName(i)
		return
	}
	for j := range columns {
		c.readCell(i, j, kindKnown)
	}
}

func (c *checker) readCell(i, j int, kindKnown bool) {
	col, row, cell := &columns[j], &c.rows[i], c.records[i].cells[j]
	if cell != "" {
		if kindKnown && col.use[row.Kind] == unused {
			c.addError(i, col.name, "rows of kind %q do not use this column, got %q", row.Kind, cell)
			return
		}
		if err := col.set(row, cell); err != nil {
			c.addError(i, col.name, "%s", err)
		}
		return
	}
	if !kindKnown {
		if col.name == ColumnName || col.name == ColumnKind {
			c.addError(i, col.name, "must not be empty")
		}
		return
	}
	if col.use[row.Kind] == required {
		c.addError(i, col.name, "rows of kind %q need a value here", row.Kind)
		return
	}
	if def := col.defaults[row.Kind]; def != "" {
		if err := col.set(row, def); err != nil {
			c.addError(i, col.name, "default: %s", err)
		}
	}
}

func (c *checker) checkNames() {
	first := make(map[string]int, len(c.rows))
	for i := range c.rows {
		name := c.rows[i].Name
		if name == "" {
			continue
		}
		if before, ok := first[name]; ok {
			c.addError(i, ColumnName, "the name stands twice%s", atLine(c.records[before].line))
			continue
		}
		first[name] = i
	}
}

func atLine(line int) string {
	if line == 0 {
		return ""
	}
	return fmt.Sprintf(", first in line %d", line)
}

func (c *checker) checkScorers() {
	kinds := make(map[string]Kind, len(c.rows))
	for i := range c.rows {
		kinds[c.rows[i].Name] = c.rows[i].Kind
	}
	for i := range c.rows {
		scorer := c.rows[i].Scorer
		if scorer == "" {
			continue
		}
		kind, ok := kinds[scorer]
		switch {
		case !ok:
			c.addError(i, ColumnScorer, "no row is named %q", scorer)
		case kind != KindPlain:
			c.addError(i, ColumnScorer, "row %q is of kind %q, want %q", scorer, kind, KindPlain)
		}
	}
}

// inheritSwap sets one swap policy for all rows of a model: the one that some row
// names, else the default. Rows that name different policies are an error.
func (c *checker) inheritSwap() {
	named := make(map[string]int)
	for i := range c.rows {
		row := &c.rows[i]
		if row.Model == "" || row.Swap == "" {
			continue
		}
		before, ok := named[row.Model]
		if !ok {
			named[row.Model] = i
			continue
		}
		if other := &c.rows[before]; other.Swap != row.Swap {
			c.addError(i, ColumnSwap, "row %q of the same model %q says %q, this one %q", other.Name, row.Model, other.Swap, row.Swap)
		}
	}
	for i := range c.rows {
		row := &c.rows[i]
		if row.Model == "" || row.Swap != "" {
			continue
		}
		row.Swap = DefaultSwap
		if j, ok := named[row.Model]; ok {
			row.Swap = c.rows[j].Swap
		}
	}
}
