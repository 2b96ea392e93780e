package table

import (
	"bytes"
	"encoding/csv"
	"fmt"

	"go.yaml.in/yaml/v3"
)

const (
	yamlIndent = 2
	yamlString = "!!str"
)

// Format writes rows as a table file in canonical form: columns in canonical order
// and values as Parse read them. Parse of the result returns the same rows. The
// error says that the format is unknown or the encoding failed.
func Format(format string, rows []Row) ([]byte, error) {
	switch format {
	case FormatCSV:
		return formatCSV(rows)
	case FormatYAML:
		return formatYAML(rows)
	}
	return nil, fmt.Errorf("format %q, want %q or %q", format, FormatCSV, FormatYAML)
}

func formatCSV(rows []Row) ([]byte, error) {
	var out bytes.Buffer
	writer := csv.NewWriter(&out)
	if err := writer.Write(ColumnNames()); err != nil {
		return nil, err
	}
	for i := range rows {
		if err := writer.Write(cellsOf(&rows[i])); err != nil {
			return nil, err
		}
	}
	writer.Flush()
	return out.Bytes(), writer.Error()
}

func formatYAML(rows []Row) ([]byte, error) {
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for i := range rows {
		list.Content = append(list.Content, yamlRow(&rows[i]))
	}
	root := &yaml.Node{Kind: yaml.MappingNode, Content: []*yaml.Node{scalar(yamlRows, yamlString), list}}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(root); err != nil {
		return nil, err
	}
	if err := encoder.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func yamlRow(r *Row) *yaml.Node {
	node := &yaml.Node{Kind: yaml.MappingNode}
	for i, cell := range cellsOf(r) {
		if cell == "" {
			continue
		}
		node.Content = append(node.Content, scalar(columns[i].name, yamlString), scalar(cell, yamlTag(&columns[i])))
	}
	return node
}

// yamlTag returns the string tag for string columns, so that a row named "null" is
// quoted, and no tag for numbers and booleans.
func yamlTag(c *column) string {
	switch c.name {
	case ColumnName, ColumnKind, ColumnModel, ColumnScorer, ColumnLeftover, ColumnSwap, ColumnDeadline:
		return yamlString
	}
	return ""
}

func scalar(value, tag string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: value}
}

// Rows returns a copy of the snapshot's rows in the table's order.
func (s *Snapshot) Rows() []Row {
	if s == nil {
		return nil
	}
	rows := make([]Row, len(s.names))
	for i, name := range s.names {
		rows[i] = *s.rows[name]
	}
	return rows
}
