package table

import (
	"fmt"
	"strings"
)

// CellError is one error in a table file.
type CellError struct {
	// Line is the line of the file, from 1; 0 when the error is not in a single line.
	Line int `json:"line,omitempty"`
	// Row is the row's name, empty when it has none.
	Row string `json:"row,omitempty"`
	// Column is empty when the error is not in a single column.
	Column  string `json:"column,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (e CellError) Error() string {
	var where []string
	if e.Line > 0 {
		where = append(where, fmt.Sprintf("line %d", e.Line))
	}
	if e.Row != "" {
		where = append(where, fmt.Sprintf("row %q", e.Row))
	}
	if e.Column != "" {
		where = append(where, fmt.Sprintf("column %q", e.Column))
	}
	if len(where) == 0 {
		return e.Message
	}
	return strings.Join(where, ", ") + ": " + e.Message
}

// Errors are all errors found in one table file, in the order of its lines.
type Errors []CellError

// Error implements error; all errors are in one line.
func (es Errors) Error() string {
	texts := make([]string, len(es))
	for i, e := range es {
		texts[i] = e.Error()
	}
	return strings.Join(texts, "; ")
}

// errOrNil returns nil for an empty list, which would otherwise be a non-nil error.
func (es Errors) errOrNil() error {
	if len(es) == 0 {
		return nil
	}
	return es
}
