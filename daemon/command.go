package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/internal/buildid"
	"mulberryscale.example/settings"
)

// Exit statuses of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = settings.ExitUsage
)

// UsageError is an error in how a program was called; its exit status is ExitUsage.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode implements cli.ExitCoder.
func (e *UsageError) ExitCode() int { return ExitUsage }

// Usagef returns a formatted UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Err: fmt.Errorf(format, args...)}
}

// CommandOptions describes a daemon's command.
type CommandOptions struct {
	// Usage is a one-line description of the program.
	Usage string
	// Examples are shown by --help.
	Examples string
	// Settings are the program's settings; the command has their program's name.
	Settings *settings.Set
	// Run runs the program after its settings have been checked.
	Run func(ctx context.Context) error
}

// NewCommand returns the command of a daemon, which checks the settings and then
// prints them if requested, or else runs the program.
func NewCommand(options CommandOptions) *cli.Command {
	set := options.Settings
	return &cli.Command{
		Name:        set.Program(),
		Usage:       options.Usage,
		Description: examples(options.Examples),
		Flags:       set.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return Usagef("unexpected argument %q", cmd.Args().First())
			}
			if err := set.Check(cmd); err != nil {
				return err
			}
			if settings.PrintRequested(cmd) {
				return set.Print(cmd.Root().Writer)
			}
			return options.Run(ctx)
		},
	}
}

func examples(text string) string {
	if text == "" {
		return ""
	}
	return "Examples:\n" + strings.TrimRight(text, "\n")
}

// Main prepares and runs a command and returns the exit status. An error is
// written to stderr in one line.
func Main(cmd *cli.Command, args []string, stderr io.Writer) int {
	Prepare(cmd)
	cmd.ErrWriter = stderr
	err := cmd.Run(context.Background(), args)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", cmd.Name, OneLine(err))
	}
	return ExitStatus(err)
}

// Prepare adds the version, shell completion and UsageError handling to a command.
func Prepare(cmd *cli.Command) {
	cmd.Version = Version()
	cmd.EnableShellCompletion = true
	cmd.Suggest = true
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {} // Main reports errors
	cmd.Commands = append(cmd.Commands, versionCommand(cmd.Name))
	setUsageErrors(cmd)
}

// setUsageErrors makes the command and its subcommands return a UsageError for
// invalid flags instead of printing the help.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

func versionCommand(program string) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the program's version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, program, Version())
			return err
		},
	}
}

// Version returns the module's version, its commit if the build stamped it, marked as
// modified if there were uncommitted changes, and the id of the program.
func Version() string {
	return stampedVersion() + " build " + buildid.Own()
}

func stampedVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
		if s.Key == "vcs.modified" && s.Value == "true" {
			version += " modified"
		}
	}
	return version
}

// ExitStatus returns the exit status for the error that a command returned.
func ExitStatus(err error) int {
	if err == nil {
		return ExitOK
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return ExitFailed
}

// OneLine returns an error's text in one line.
func OneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
