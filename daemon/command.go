package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/settings"
)

// Exit statuses of our programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = settings.ExitUsage
)

// UsageError is a mistake in how a program was called; it exits with ExitUsage.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// ExitCode implements cli.ExitCoder.
func (e *UsageError) ExitCode() int { return ExitUsage }

// Usagef makes a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Err: fmt.Errorf(format, args...)}
}

// CommandOptions describe a daemon's command.
type CommandOptions struct {
	// Usage is one line on what the program is.
	Usage string
	// Examples are shown by --help.
	Examples string
	// Settings are the program's; the command is named after their program.
	Settings *settings.Set
	// Run runs the program once its settings are checked.
	Run func(ctx context.Context) error
}

// NewCommand returns the command of a daemon: it checks the settings, prints
// them if asked, and else runs the program.
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

// Main runs a command with the habits that all our programs share and returns
// the exit status. An error goes to stderr in one line.
func Main(cmd *cli.Command, args []string, stderr io.Writer) int {
	Prepare(cmd)
	cmd.ErrWriter = stderr
	err := cmd.Run(context.Background(), args)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %s\n", cmd.Name, OneLine(err))
	}
	return ExitStatus(err)
}

// Prepare adds the version, shell completion and usage errors to a command.
func Prepare(cmd *cli.Command) {
	cmd.Version = Version()
	cmd.EnableShellCompletion = true
	cmd.Suggest = true
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {} // Main reports errors
	cmd.Commands = append(cmd.Commands, versionCommand(cmd.Name))
	quietUsage(cmd)
}

// quietUsage makes wrong flags a one-line error of the command and all below it.
func quietUsage(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	for _, sub := range cmd.Commands {
		quietUsage(sub)
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

// Version is the module's version, with the commit and whether files were changed since.
func Version() string {
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

// ExitStatus is the exit status for what a command returned.
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

// OneLine is an error's text in one line.
func OneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
