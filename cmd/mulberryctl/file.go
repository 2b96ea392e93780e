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

// baseLinePrefix begins the comment that get writes as a table file's first line. It
// names the version from which the file was made, and it is no part of the
// text that is applied.
const baseLinePrefix = "# mulberryscale table version "

// tableFile is a table file as read from disk.
type tableFile struct {
	path   string
	format string
	// body is the text without the line of baseMark.
	body []byte
	// base is the version that the line names; hasBase says that there is one.
	base    uint64
	hasBase bool
	rows    []table.Row
}

// readFile reads and checks a table file. Mistakes in it are table.Errors.
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

// cutBaseLine takes the line of baseMark off the body.
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

// prependBaseLine puts the line of baseMark before a text.
func prependBaseLine(version uint64, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s%d\n", baseLinePrefix, version), body...)
}

// rewriteBaseLine renews the line of baseMark in the file, if it has one. The file is
// replaced whole.
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
	defer os.Remove(temp.Name()) // gone after the rename
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
