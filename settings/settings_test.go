package settings

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/urfave/cli/v3"
)

// newTestSet returns a set with a setting of each type and a rule.
func newTestSet(t *testing.T, env map[string]string) *Set {
	set := NewSet("test")
	set.lookupEnv = func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}
	first := set.Int("first", 1, 0, 100, "a number")
	second := set.Int("second", 2, 0, 100, "a larger number")
	set.IPPort("listen", "127.0.0.1:8080", "an address")
	set.IPPorts("peers", "", "addresses")
	set.URL("table-url", "http://127.0.0.1:9000", "a service")
	set.Zone("zone", "the zone")
	set.Duration("wait", time.Second, time.Millisecond, time.Minute, "a time")
	set.Bytes("body", MiB, KiB, 16*MiB, "a size")
	set.Float("share", 0.5, 0, 1, "a share")
	set.Bool("verbose", false, "a switch")
	set.File("ca", "", "a file")
	set.List("names", "", "names")
	set.Choice("format", "text", "a form", "text", "json")
	set.Secret("token", "a secret")
	set.Rule(func() error {
		if *first >= *second {
			return errors.New("first must be less than second")
		}
		return nil
	})
	return set
}

// run checks the settings of a command line and returns the printed settings or the
// exit status and mistakes.
func run(set *Set, args []string) string {
	var out strings.Builder
	cmd := &cli.Command{
		Name:  "test",
		Flags: set.Flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			if err := set.Check(cmd); err != nil {
				return err
			}
			return set.Print(&out)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Writer:         &out,
		ErrWriter:      &out,
	}
	err := cmd.Run(context.Background(), append([]string{"test"}, args...))
	var mistakes *Error
	if errors.As(err, &mistakes) {
		return fmt.Sprintf("exit %d\n%s\n", mistakes.ExitCode(), strings.Join(mistakes.Mistakes, "\n"))
	}
	if err != nil {
		return "error: " + err.Error() + "\n"
	}
	return out.String()
}

// TestCheck runs testdata/check; each line of the input is a flag or VAR=value.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		env := make(map[string]string)
		var args []string
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			if name, value, ok := strings.Cut(line, "="); ok && strings.HasPrefix(name, EnvPrefix) {
				env[name] = value
				continue
			}
			args = append(args, line)
		}
		return run(newTestSet(t, maps.Clone(env)), args)
	})
}

func TestValues(t *testing.T) {
	set := NewSet("test")
	set.lookupEnv = func(name string) (string, bool) { return " a, b,,c", name == "MULBERRY_NAMES" }
	body := set.Bytes("body", 0, 0, GiB, "")
	names := set.List("names", "", "")
	on := set.Bool("on", false, "")
	wait := set.Duration("wait", 0, 0, time.Hour, "")
	url := set.URL("url", "", "")
	if got := run(set, []string{"--body", "3MiB", "--on", "--wait=90s", "--url", "http://127.0.0.1:1/x/"}); strings.HasPrefix(got, "e") {
		t.Fatal(got)
	}
	got := fmt.Sprintf("%d %v %v %v %s", *body, *names, *on, *wait, *url)
	if want := "3145728 [a b c] true 1m30s http://127.0.0.1:1/x"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}

func TestDeclaredTwicePanics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("no panic")
		}
	}()
	set := NewSet("test")
	set.Bool("a", false, "")
	set.Bool("a", false, "")
}

func FuzzBytes(f *testing.F) {
	f.Add("64MiB")
	f.Add("9223372036854775807GiB")
	f.Fuzz(func(t *testing.T, text string) {
		n, err := parseBytes(text)
		if err != nil {
			return
		}
		if again, err := parseBytes(formatBytes(n)); err != nil || again != n || n < 0 {
			t.Fatalf("%q: %d, then %d, %v", text, n, again, err)
		}
	})
}
