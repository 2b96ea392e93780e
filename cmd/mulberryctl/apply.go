package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/settings"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

// Flags of apply and rollback.
const (
	flagBase    = "base"
	flagAuthor  = "author"
	flagYes     = "yes"
	flagApplyID = "apply-id"
)

const envUser = "USER"

var errDeclined = errors.New("not applied: declined")

// applyIDNamespace is the name space of the apply ids made here.
var applyIDNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("https://mulberryscale.example/apply"))

func editFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagBase, Usage: "version that the edit was made from"},
		&cli.StringFlag{
			Name:    flagAuthor,
			Usage:   "who edits, for the history",
			Sources: cli.EnvVars(settings.EnvName(flagAuthor), envUser),
			Value:   "unknown",
		},
		&cli.BoolFlag{Name: flagYes, Aliases: []string{"y"}, Usage: "do not ask"},
		&cli.StringFlag{
			Name:  flagApplyID,
			Usage: "id by which a repeat is recognised (default: made from the edit, so that the same command repeated is)",
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check table files offline, as for a hook of version control",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return daemon.Usagef("want: mulberryctl check FILE...")
			}
			return checkFiles(cmd)
		},
	}
}

// fileResult are the mistakes of one file.
type fileResult struct {
	File     string       `json:"file"`
	Rows     int          `json:"rows"`
	Mistakes table.Errors `json:"mistakes"`
}

func checkFiles(cmd *cli.Command) error {
	var results []fileResult
	out := daemon.Table{Header: []string{"FILE", "LINE", "ROW", "COLUMN", "RESULT"}}
	invalid := 0
	for _, path := range cmd.Args().Slice() {
		result := fileResult{File: path, Mistakes: table.Errors{}}
		file, err := readFile(path)
		switch {
		case err == nil:
			result.Rows = len(file.rows)
			out.Rows = append(out.Rows, []string{path, "", "", "", fmt.Sprintf("ok, %d rows", result.Rows)})
		case errors.As(err, &result.Mistakes):
			invalid++
			for _, m := range result.Mistakes {
				out.Rows = append(out.Rows, []string{path, fmt.Sprint(m.Line), m.Row, m.Column, m.Message})
			}
		default:
			return err
		}
		results = append(results, result)
	}
	if err := daemon.OutputOf(cmd).Write(cmd.Root().Writer, out, results); err != nil {
		return err
	}
	if invalid > 0 {
		return daemon.Usagef("%d of %d files have mistakes", invalid, len(results))
	}
	return nil
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make a table file the version in force",
		ArgsUsage: "FILE",
		Description: "The edit is refused when another one came first; the three-way difference is shown then.\n" +
			"The version that the file was made from stands in its first line, as get writes it, or in --base.",
		Flags:  editFlags(),
		Action: runApply,
	}
}

// applyEdit is one run of apply.
type applyEdit struct {
	store   *tablestore.Store
	file    *tableFile
	base    uint64
	current tablestore.Entry
	// unchanged: the table in force has no difference to the file.
	unchanged bool
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, 1); err != nil {
		return err
	}
	store, err := openStore(cmd)
	if err != nil {
		return err
	}
	file, err := readFile(cmd.Args().First())
	if err != nil {
		return asUsageError(err)
	}
	a := &applyEdit{store: store, file: file}
	return confirmedEdit{a.plan, a.commit}.run(ctx, cmd)
}

// plan has no question when there is nothing to apply, and when the base is not
// the current version, since the edit is then refused or recognised.
func (a *applyEdit) plan(ctx context.Context, cmd *cli.Command) (string, []table.Change, error) {
	current, err := readCurrent(ctx, a.store)
	if err != nil {
		return "", nil, err
	}
	a.current = current.Entry
	a.base, err = baseVersion(cmd, a.file, current.Version)
	if err != nil || a.base != current.Version {
		return "", nil, err
	}
	rows, err := parseRows(current)
	if err != nil {
		return "", nil, err
	}
	changes := table.Diff(rows, a.file.rows)
	a.unchanged = len(changes) == 0
	if a.unchanged {
		return "", nil, nil
	}
	return fmt.Sprintf("apply to version %d?", a.base), changes, nil
}

func (a *applyEdit) commit(ctx context.Context, cmd *cli.Command) error {
	if a.unchanged {
		return printEntry(cmd, "no difference", a.current)
	}
	entry, err := a.store.Apply(ctx, tablestore.ApplyRequest{
		Base:    a.base,
		ApplyID: applyID(cmd, "apply", a.base, a.file.format, string(a.file.body)),
		Author:  cmd.String(flagAuthor),
		Format:  a.file.format,
		Body:    a.file.body,
	})
	if err != nil {
		return explainConflict(cmd, err)
	}
	if err := a.file.rewriteBaseLine(entry.Version); err != nil {
		return err
	}
	return printEntry(cmd, "applied", entry)
}

// baseVersion finds the version that the file was made from. It is never guessed:
// a file made from an older version would undo the edits since.
func baseVersion(cmd *cli.Command, file *tableFile, current uint64) (uint64, error) {
	switch {
	case cmd.IsSet(flagBase):
		return cmd.Uint64(flagBase), nil
	case file.hasBase:
		return file.base, nil
	case current == 0:
		return 0, nil
	}
	return 0, daemon.Usagef("%s does not say which version it was made from: give --base (the current one is %d)",
		file.path, current)
}

// applyID is the same for the same edit of the same base, so that a command
// whose reply was lost can simply be repeated.
func applyID(cmd *cli.Command, parts ...any) string {
	if id := cmd.String(flagApplyID); id != "" {
		return id
	}
	parts = append(parts, cmd.String(flagAuthor))
	return uuid.NewSHA1(applyIDNamespace, fmt.Appendf(nil, "%q", parts)).String()
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "make the text of an older version a new version",
		ArgsUsage: "VERSION",
		Flags:     editFlags(),
		Action:    runRollback,
	}
}

// rollbackEdit is one run of rollback.
type rollbackEdit struct {
	store *tablestore.Store
	to    uint64
	base  uint64
}

func runRollback(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1, 1); err != nil {
		return err
	}
	to, err := parseVersion(cmd.Args().First())
	if err != nil {
		return err
	}
	store, err := openStore(cmd)
	if err != nil {
		return err
	}
	r := &rollbackEdit{store: store, to: to}
	return confirmedEdit{r.plan, r.commit}.run(ctx, cmd)
}

func (r *rollbackEdit) plan(ctx context.Context, cmd *cli.Command) (string, []table.Change, error) {
	current, err := r.store.Current(ctx)
	if err != nil {
		return "", nil, err
	}
	r.base = current.Version
	if cmd.IsSet(flagBase) {
		r.base = cmd.Uint64(flagBase)
	}
	changes, err := diffVersions(ctx, r.store, current.Version, r.to)
	return fmt.Sprintf("roll version %d back to %d?", r.base, r.to), changes, err
}

func (r *rollbackEdit) commit(ctx context.Context, cmd *cli.Command) error {
	entry, err := r.store.Rollback(ctx, tablestore.RollbackRequest{
		To:      r.to,
		Base:    r.base,
		ApplyID: applyID(cmd, "rollback", r.base, r.to),
		Author:  cmd.String(flagAuthor),
	})
	if err != nil {
		return explainConflict(cmd, err)
	}
	return printEntry(cmd, "rolled back", entry)
}

// confirm shows the difference on stderr and asks, unless --yes is given.
func confirm(cmd *cli.Command, changes []table.Change, question string) error {
	w := cmd.Root().ErrWriter
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
	if cmd.Bool(flagYes) {
		return nil
	}
	fmt.Fprintf(w, "%s [y/N] ", question)
	answer, _ := bufio.NewReader(cmd.Root().Reader).ReadString('\n') // no answer is no
	if strings.TrimSpace(strings.ToLower(answer)) != "y" {
		return errDeclined
	}
	return nil
}

// explainConflict prints the three-way difference of a conflict.
func explainConflict(cmd *cli.Command, err error) error {
	var conflict *tablestore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if writeErr := printConflict(cmd, conflict); writeErr != nil {
		return errors.Join(err, writeErr)
	}
	return err
}

// asUsageError gives mistakes in a file the exit status of wrong usage.
func asUsageError(err error) error {
	var mistakes table.Errors
	if errors.As(err, &mistakes) {
		return &daemon.UsageError{Err: err}
	}
	if errors.Is(err, os.ErrNotExist) {
		return &daemon.UsageError{Err: err}
	}
	return err
}
