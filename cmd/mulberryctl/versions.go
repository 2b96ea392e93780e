package main

import (
	"context"
	"errors"
	"strconv"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

// Flags of get and history.
const (
	flagVersion = "table-version"
	flagFormat  = "format"
	flagLimit   = "limit"
)

const defaultLimit = 20

func getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print a version of the table as a file, the current one by default",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagVersion, Aliases: []string{"version"}, Usage: "version to print"},
			&cli.StringFlag{Name: flagFormat, Usage: "csv or yaml: print the table in the canonical form of that format"},
		},
		Action: withTimeout(runGet),
	}
}

func runGet(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0, 0); err != nil {
		return err
	}
	store, err := openStore(cmd)
	if err != nil {
		return err
	}
	doc, err := readVersion(ctx, store, cmd.Uint64(flagVersion))
	if err != nil {
		return err
	}
	if daemon.OutputOf(cmd) == daemon.OutputJSON {
		return printDocument(cmd, doc)
	}
	body := doc.Body
	if format := cmd.String(flagFormat); format != "" {
		rows, err := parseRows(doc)
		if err != nil {
			return err
		}
		if body, err = table.Format(format, rows); err != nil {
			return &daemon.UsageError{Err: err}
		}
	}
	_, err = cmd.Root().Writer.Write(prependBaseLine(doc.Version, body))
	return err
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the difference between the current version and a file, or between two versions",
		ArgsUsage: "FILE | VERSION VERSION",
		Action:    withTimeout(runDiff),
	}
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, 2); err != nil {
		return err
	}
	store, err := openStore(cmd)
	if err != nil {
		return err
	}
	var changes []table.Change
	if cmd.Args().Len() == 1 {
		changes, err = diffFile(ctx, store, cmd.Args().First())
	} else {
		changes, err = diffArgs(ctx, store, cmd.Args().Get(0), cmd.Args().Get(1))
	}
	if err != nil {
		return asUsageError(err)
	}
	return printChanges(cmd, changes)
}

func diffFile(ctx context.Context, store *tablestore.Store, path string) ([]table.Change, error) {
	file, err := readFile(path)
	if err != nil {
		return nil, err
	}
	current, err := readCurrent(ctx, store)
	if err != nil {
		return nil, err
	}
	rows, err := parseRows(current)
	if err != nil {
		return nil, err
	}
	return table.Diff(rows, file.rows), nil
}

func diffArgs(ctx context.Context, store *tablestore.Store, from, to string) ([]table.Change, error) {
	a, err := parseVersion(from)
	if err != nil {
		return nil, err
	}
	b, err := parseVersion(to)
	if err != nil {
		return nil, err
	}
	return diffVersions(ctx, store, a, b)
}

func diffVersions(ctx context.Context, store *tablestore.Store, from, to uint64) ([]table.Change, error) {
	var sides [2][]table.Row
	for i, version := range []uint64{from, to} {
		doc, err := store.Version(ctx, version)
		if err != nil {
			return nil, err
		}
		if sides[i], err = parseRows(doc); err != nil {
			return nil, err
		}
	}
	return table.Diff(sides[0], sides[1]), nil
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the newest versions",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagLimit, Usage: "number of versions", Value: defaultLimit, Validator: func(n int) error {
				if n < 1 {
					return errors.New("want at least 1")
				}
				return nil
			}},
		},
		Action: withTimeout(func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 0); err != nil {
				return err
			}
			store, err := openStore(cmd)
			if err != nil {
				return err
			}
			docs, err := store.History(ctx, cmd.Int(flagLimit))
			if err != nil {
				return err
			}
			return printHistory(cmd, docs)
		}),
	}
}

// readVersion reads a version of the table; version 0 means the current one.
func readVersion(ctx context.Context, store *tablestore.Store, version uint64) (tablestore.Document, error) {
	if version == 0 {
		return store.Get(ctx)
	}
	return store.Version(ctx, version)
}

// readCurrent reads the current version, or returns the zero document if there is none yet.
func readCurrent(ctx context.Context, store *tablestore.Store) (tablestore.Document, error) {
	doc, err := store.Get(ctx)
	if errors.Is(err, tablestore.ErrNoTable) {
		return tablestore.Document{}, nil
	}
	return doc, err
}

// parseRows parses the rows of a document; the zero document has none.
func parseRows(doc tablestore.Document) ([]table.Row, error) {
	if doc.Version == 0 {
		return nil, nil
	}
	return table.Parse(doc.Format, doc.Body)
}

func parseVersion(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, daemon.Usagef("want a version, a whole number from 1, got %q", text)
	}
	return n, nil
}
