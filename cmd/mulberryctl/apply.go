package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

// maxReply is the longest reply to a question, in bytes.
const maxReply = 1 << 10

var errDeclined = errors.New("not applied: declined")

// applyIDNamespace is the UUID namespace of the apply ids made here.
var applyIDNamespace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("https://mulberryscale.example/apply"))

func editFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagBase, Usage: "version that the edit is based on"},
		&cli.StringFlag{
			Name:    flagAuthor,
			Usage:   "author recorded in the history",
			Sources: cli.EnvVars(settings.EnvName(flagAuthor), envUser),
			Value:   "unknown",
		},
		&cli.BoolFlag{Name: flagYes, Aliases: []string{"y"}, Usage: "do not ask for confirmation"},
		&cli.StringFlag{
			Name:  flagApplyID,
			Usage: "idempotency id of the edit (default: derived from the edit, so that the same command may be repeated)",
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check table files offline, for example in a version control hook",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return daemon.Usagef("want: mulberryctl check FILE...")
			}
			return checkFiles(cmd)
		},
	}
}

// fileResult is the JSON of one checked file, with its mistakes.
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
		Usage:     "make a table file the current version",
		ArgsUsage: "FILE",
		Description: "The edit is refused if another one was applied first; the three-way difference is shown then.\n" +
			"The version that the file was made from is given by its first line, as get writes it, or by --base.",
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
	// unchanged is true if the current table has no difference to the file.
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

// plan returns no question when there is nothing to apply, or when the base is not
// the current version: the store then refuses the edit or recognises a repeat.
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

// baseVersion returns the version that the file was made from. It is never guessed:
// applying a file made from an older version would undo the edits made since.
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

// applyID returns --apply-id, or an id derived from the edit, its base and its
// author, so that a command whose reply was lost can simply be repeated.
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
		Usage:     "apply the text of an older version as a new version",
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

// confirm shows the difference on stderr and, unless --yes is given, asks the
// operator. The error is errDeclined unless the answer is y.
func confirm(cmd *cli.Command, changes []table.Change, question string) error {
	w := cmd.Root().ErrWriter
	for _, c := range changes {
		fmt.Fprintln(w, c)
	}
	if cmd.Bool(flagYes) {
		return nil
	}
	fmt.Fprintf(w, "%s [y/N] ", question)
	input := io.LimitReader(cmd.Root().Reader, maxReply)
	answer, _ := bufio.NewReader(input).ReadString('\n') // no answer is no
	if strings.TrimSpace(strings.ToLower(answer)) != "y" {
		return errDeclined
	}
	return nil
}

// explainConflict prints the three-way difference if err is a conflict, and returns err.
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

// asUsageError turns mistakes in a file and a missing file into a usage error,
// which sets the exit status of wrong usage.
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
