package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Formats of a table file.
const (
	FormatCSV  = "csv"
	FormatYAML = "yaml"
)

// Limits of a table file.
const (
	MaxBytes = 1 << 20
	MaxRows  = 10_000
)

// commentMark begins a comment line of a CSV file.
const commentMark = '#'

var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads and validates a table file as a whole. The error is of type Errors
// and lists every error found.
func Parse(format string, body []byte) ([]Row, error) {
	if len(body) > MaxBytes {
		return nil, Errors{{Message: fmt.Sprintf("%d bytes, more than %d", len(body), MaxBytes)}}
	}
	body = bytes.TrimPrefix(body, byteOrderMark)
	records, errs := readRecords(format, body)
	if len(records) == 0 && len(errs) > 0 {
		return nil, errs
	}
	rows, moreErrs := fromRecords(records)
	errs = append(errs, moreErrs...)
	slices.SortStableFunc(errs, func(a, b CellError) int { return cmp.Compare(a.Line, b.Line) })
	return rows, errs.errOrNil()
}

// readRecords splits a file into rows and cells. If it returns errors and no
// records, the file cannot be checked any further.
func readRecords(format string, body []byte) ([]record, Errors) {
	switch format {
	case FormatCSV:
		return readCSV(body)
	case FormatYAML:
		return readYAML(body)
	}
	return nil, Errors{{Message: fmt.Sprintf("format %q, want %q or %q", format, FormatCSV, FormatYAML)}}
}

// FormatOfFile returns a table file's format by its name's extension.
func FormatOfFile(name string) (string, error) {
	switch {
	case strings.HasSuffix(name, ".csv"):
		return FormatCSV, nil
	case strings.HasSuffix(name, ".yaml"), strings.HasSuffix(name, ".yml"):
		return FormatYAML, nil
	}
	return "", fmt.Errorf("%s: want a name that ends in .csv, .yaml or .yml", name)
}

func readCSV(body []byte) ([]record, Errors) {
	reader := csv.NewReader(bytes.NewReader(body))
	reader.Comment = commentMark
	reader.FieldsPerRecord = -1 // checked by readCSVLines, which reports the line
	header, err := reader.Read()
	if errors.Is(err, io.EOF) {
		return nil, Errors{{Message: "the file is empty"}}
	}
	if err != nil {
		return nil, csvErrors(err)
	}
	line, _ := reader.FieldPos(0)
	order, errs := readHeader(line, header)
	if errs != nil {
		return nil, errs
	}
	return readCSVLines(reader, order)
}

// readHeader maps each field of the header to its index in columns.
func readHeader(line int, header []string) ([]int, Errors) {
	var errs Errors
	order := make([]int, len(header))
	seen := make(map[string]bool, len(header))
	for i, field := range header {
		name := strings.TrimSpace(field)
		index, ok := columnIndex(name)
		switch {
		case !ok:
			errs = append(errs, CellError{Line: line, Column: name, Message: "no such column"})
		case seen[name]:
			errs = append(errs, CellError{Line: line, Column: name, Message: "the column stands twice"})
		}
		order[i] = index
		seen[name] = true
	}
	for _, name := range ColumnNames() {
		if !seen[name] {
			errs = append(errs, CellError{Line: line, Column: name, Message: "the column is missing"})
		}
	}
	return order, errs
}

func readCSVLines(reader *csv.Reader, order []int) ([]record, Errors) {
	var records []record
	var errs Errors
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return records, errs
		}
		if err != nil {
			return records, append(errs, csvErrors(err)...)
		}
		line, _ := reader.FieldPos(0)
		rec := record{line: line, cells: make([]string, len(columns))}
		for i := range min(len(fields), len(order)) {
			rec.cells[order[i]] = strings.TrimSpace(fields[i])
		}
		if len(fields) != len(order) {
			rec.malformed = true
			message := fmt.Sprintf("%d cells, want %d", len(fields), len(order))
			errs = append(errs, CellError{Line: line, Message: message})
		}
		records = append(records, rec)
	}
}

func csvErrors(err error) Errors {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		return Errors{{Line: parse.Line, Message: parse.Err.Error()}}
	}
	return Errors{{Message: err.Error()}}
}
