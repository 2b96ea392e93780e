package table

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// yamlRows is the one key of a YAML table file; its value lists the rows.
const yamlRows = "rows"

const yamlNull = "!!null"

// readYAML reads a document of the form "rows: [{name: ..., kind: ...}, ...]". A
// missing key is an empty cell.
func readYAML(body []byte) ([]record, Errors) {
	decoder := yaml.NewDecoder(bytes.NewReader(body))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Errors{{Message: "the file is empty"}}
		}
		return nil, Errors{{Message: oneLine(err)}}
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, Errors{{Message: "want one YAML document"}}
	}
	list, errs := rowList(document.Content[0])
	if errs != nil {
		return nil, errs
	}
	var records []record
	for _, node := range list.Content {
		rec, rowErrs := readYAMLRow(node)
		records = append(records, rec)
		errs = append(errs, rowErrs...)
	}
	return records, errs
}

func rowList(root *yaml.Node) (*yaml.Node, Errors) {
	want := fmt.Sprintf("want a mapping with the one key %q that lists the rows", yamlRows)
	if root.Kind != yaml.MappingNode || len(root.Content) != 2 || root.Content[0].Value != yamlRows {
		return nil, Errors{{Line: root.Line, Message: want}}
	}
	list := root.Content[1]
	if list.Kind != yaml.SequenceNode {
		return nil, Errors{{Line: list.Line, Message: want}}
	}
	return list, nil
}

func readYAMLRow(node *yaml.Node) (record, Errors) {
	rec := record{line: node.Line, cells: make([]string, len(columns))}
	if node.Kind != yaml.MappingNode {
		rec.malformed = true
		return rec, Errors{{Line: node.Line, Message: "want a row as a mapping of columns to values"}}
	}
	var errs Errors
	seen := make(map[string]bool, len(columns))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		index, ok := columnIndex(key.Value)
		var message string
		switch {
		case !ok:
			message = "no such column"
		case seen[key.Value]:
			message = "the column stands twice"
		case value.Kind != yaml.ScalarNode:
			message = "want one plain value"
		}
		if message != "" {
			errs = append(errs, CellError{Line: key.Line, Column: key.Value, Message: message})
			continue
		}
		seen[key.Value] = true
		if value.Tag != yamlNull {
			rec.cells[index] = strings.TrimSpace(value.Value)
		}
	}
	return rec, errs
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
