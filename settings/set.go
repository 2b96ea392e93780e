package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of every environment variable's name.
const EnvPrefix = "MULBERRY_"

// PrintFlag is the flag that prints the effective settings instead of running the program.
const PrintFlag = "print-settings"

// ExitUsage is the exit status for invalid settings.
const ExitUsage = 2

// Source names where a setting's value came from.
type Source string

// Sources of values, in order of precedence.
const (
	SourceFlag    Source = "flag"
	SourceEnv     Source = "env"
	SourceDefault Source = "default"
)

// hiddenValue is printed in place of a secret's value.
const hiddenValue = "(hidden)"

// Set holds the declared settings of one program.
type Set struct {
	program   string
	settings  []*setting
	rules     []func() error
	lookupEnv func(string) (string, bool)
}

// setting is one declared setting.
type setting struct {
	name     string
	usage    string
	fallback string // default, as it would be written in a flag
	secret   bool
	required bool
	isBool   bool
	parse    func(text string) error // checks the text and stores the value

	raw    rawValue
	source Source
	text   string // effective value before parsing
}

// Error lists every mistake in a program's settings.
type Error struct {
	Program  string
	Mistakes []string
}

// Error implements error; all mistakes are in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("settings of %s: %s", e.Program, strings.Join(e.Mistakes, "; "))
}

// ExitCode implements cli.ExitCoder.
func (e *Error) ExitCode() int { return ExitUsage }

// NewSet returns an empty set for a program.
func NewSet(program string) *Set {
	return &Set{program: program, lookupEnv: os.LookupEnv}
}

// Program returns the program's name.
func (s *Set) Program() string { return s.program }

// Rule adds a check across several settings, which runs once each setting is valid by itself.
func (s *Set) Rule(check func() error) { s.rules = append(s.rules, check) }

func (s *Set) add(added *setting) {
	for _, other := range s.settings {
		if other.name == added.name {
			panic("settings: " + added.name + " is declared twice")
		}
	}
	s.settings = append(s.settings, added)
}

// EnvName returns the name of a setting's environment variable.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Flags returns a flag for each setting, and PrintFlag.
func (s *Set) Flags() []cli.Flag {
	flags := make([]cli.Flag, 0, len(s.settings)+1)
	for _, st := range s.settings {
		st.raw = rawValue{isBool: st.isBool}
		flags = append(flags, &cli.GenericFlag{
			Name:        st.name,
			Usage:       st.help(),
			Value:       &st.raw,
			DefaultText: st.defaultText(),
		})
	}
	return append(flags, &cli.BoolFlag{
		Name:        PrintFlag,
		Usage:       "print each setting with its value and source, then exit",
		HideDefault: true,
	})
}

func (st *setting) help() string {
	return fmt.Sprintf("%s [$%s]", st.usage, EnvName(st.name))
}

func (st *setting) defaultText() string {
	switch {
	case st.required:
		return "required"
	case st.fallback == "":
		return "none"
	case st.secret:
		return hiddenValue
	}
	return st.fallback
}

// Check reads and parses every setting from the command's flags, the environment or
// its default. The error, an *Error, lists all mistakes.
func (s *Set) Check(cmd *cli.Command) error {
	var mistakes []string
	for _, st := range s.settings {
		if err := s.read(cmd, st); err != nil {
			mistakes = append(mistakes, err.Error())
		}
	}
	if len(mistakes) == 0 {
		mistakes = s.checkRules()
	}
	if len(mistakes) > 0 {
		return &Error{Program: s.program, Mistakes: mistakes}
	}
	return nil
}

func (s *Set) checkRules() []string {
	var mistakes []string
	for _, rule := range s.rules {
		if err := rule(); err != nil {
			mistakes = append(mistakes, err.Error())
		}
	}
	return mistakes
}

// read takes one setting's text from the source of highest precedence and parses it.
func (s *Set) read(cmd *cli.Command, st *setting) error {
	text, source := st.fallback, SourceDefault
	if env, ok := s.lookupEnv(EnvName(st.name)); ok && env != "" {
		text, source = env, SourceEnv
	}
	if cmd.IsSet(st.name) {
		text, source = st.raw.text, SourceFlag
	}
	st.source, st.text = source, text
	if text == "" && st.required {
		return fmt.Errorf("%s is required (%s)", st.origin(), st.usage)
	}
	if err := st.parse(text); err != nil {
		return fmt.Errorf("%s: %s", st.origin(), st.describe(err))
	}
	return nil
}

// origin names the setting as the operator set it: as a variable or a flag.
func (st *setting) origin() string {
	if st.source == SourceEnv {
		return EnvName(st.name)
	}
	return "--" + st.name
}

// describe formats a parse error with the offending text, which is left out for secrets.
func (st *setting) describe(err error) string {
	if st.secret {
		return err.Error()
	}
	return fmt.Sprintf("%q: %s", st.text, err)
}

// rawValue keeps a flag's text for Check, so that an invalid one does not stop the
// parsing of the other flags.
type rawValue struct {
	text   string
	isBool bool
}

// Set implements cli.Value.
func (v *rawValue) Set(text string) error {
	v.text = text
	return nil
}

// Get implements cli.Value.
func (v *rawValue) Get() any { return v.text }

// String implements cli.Value.
func (v *rawValue) String() string { return v.text }

// IsBoolFlag reports whether the flag may be given without a value.
func (v *rawValue) IsBoolFlag() bool { return v.isBool }
