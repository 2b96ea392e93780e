package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"

	"mulberryscale.example/daemon"
	"mulberryscale.example/table"
)

// baseLinePrefix starts the base line: a comment that get writes as the first line
// of a table file. It holds the version that the file was made from and is not part
// of the text that is applied.
const baseLinePrefix = "# mulberryscale table version "

// tableFile is a table file as read from disk.
type tableFile struct {
	path   string
	format string
	// body is the text without the base line.
	body []byte
	// base is the version in the base line; hasBase is true if there is such a line.
	base    uint64
	hasBase bool
	rows    []table.Row
}

// readFile reads and checks a table file. Mistakes in its rows are returned as table.Errors.
func readFile(path string) (*tableFile, error) {
	format, err := table.FormatOfFile(path)
	if err != nil {
		return nil, daemon.Usagef("%s", err)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "step file.read")
	}
	f := &tableFile{path: path, format: format, body: body}
	if err := f.cutBaseLine(); err != nil {
		return nil, err
	}
	f.rows, err = table.Parse(format, f.body)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// cutBaseLine removes the base line, if any, from the body and sets base and hasBase.
func (f *tableFile) cutBaseLine() error {
	rest, ok := bytes.CutPrefix(f.body, []byte(baseLinePrefix))
	if !ok {
		return nil
	}
	line, body, _ := bytes.Cut(rest, []byte("\n"))
	base, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return daemon.Usagef("%s: line 1: want a version after %q", f.path, baseLinePrefix)
	}
	f.base, f.hasBase, f.body = base, true, body
	return nil
}

// prependBaseLine returns a text with a base line before it.
func prependBaseLine(version uint64, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s%d\n", baseLinePrefix, version), body...)
}

// rewriteBaseLine updates the version in the file's base line, if it has one. The
// file is replaced atomically.
func (f *tableFile) rewriteBaseLine(version uint64) error {
	if !f.hasBase || f.base == version {
		return nil
	}
	info, err := os.Stat(f.path)
	if err != nil {
		return trace.Wrap(err, "step file.write")
	}
	temp, err := os.CreateTemp(filepath.Dir(f.path), ".mulberryctl-*")
	if err != nil {
		return trace.Wrap(err, "step file.write")
	}
	defer os.Remove(temp.Name()) // fails after the rename, when the file is gone
	if err := writeAndClose(temp, prependBaseLine(version, f.body), info.Mode()); err != nil {
		return trace.Wrap(err, "step file.write")
	}
	return trace.Wrap(os.Rename(temp.Name(), f.path), "step file.write")
}

func writeAndClose(file *os.File, body []byte, mode os.FileMode) error {
	defer file.Close()
	if _, err := file.Write(body); err != nil {
		return err
	}
	if err := file.Chmod(mode.Perm()); err != nil {
		return err
	}
	return file.Close()
}
