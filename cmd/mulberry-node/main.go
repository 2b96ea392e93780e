// Command mulberry-node runs mulberryscale on the users' platform: "entry"
// serves clients, "agent" runs beside a model engine. The platform writes the
// settings file and passes its path in an environment variable.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/service/node"
)

func main() {
	sig := notifySignals()
	limitMemory()
	cmd := &cli.Command{
		Name:  "mulberry-node",
		Usage: "run mulberryscale on the users' platform",
		Commands: []*cli.Command{
			roleCommand(sig, "entry", "serve clients", nodefile.RoleEntry,
				func(s *nodefile.Settings, o node.Options) (runner, error) { return node.NewEntry(s, o) }, gateFlags()...),
			roleCommand(sig, "agent", "run batch items on the engine beside this process", nodefile.RoleAgent,
				func(s *nodefile.Settings, o node.Options) (runner, error) { return node.NewAgent(s, o) }),
		},
	}
	os.Exit(daemon.Main(cmd, os.Args, os.Stderr))
}

// maxPort is the highest port number.
const maxPort = 65535

// runner is a program that runs until its context is done, and then drains.
type runner interface {
	Run(ctx context.Context) error
	// Reload calls load and applies the settings at each hangup until ctx is done.
	Reload(ctx context.Context, hangups <-chan os.Signal, load func() (*nodefile.Settings, error))
}

// signals holds the signals that the platform sends to a process.
type signals struct {
	// ctx is cancelled by SIGTERM or SIGINT.
	ctx context.Context
	// hangups delivers SIGHUP.
	hangups <-chan os.Signal
}

// notifySignals starts to catch signals. Until then a SIGHUP kills the process,
// so main calls it first.
func notifySignals() signals {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	running, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT) // until the process exits
	return signals{ctx: running, hangups: hangups}
}

func roleCommand(
	sig signals, name, usage string, role nodefile.Role, make func(*nodefile.Settings, node.Options) (runner, error), flags ...cli.Flag,
) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: append(flags, []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(nodefile.PathVariable), Required: true,
			},
			&cli.IntFlag{
				Name: "metrics-port", Usage: "port for counters and histograms, 0 for none", Sources: cli.EnvVars("MULBERRY_METRICS_PORT"),
				Validator: func(port int) error {
					if port < 0 || port > maxPort {
						return fmt.Errorf("metrics-port is %d: want 0 to %d", port, maxPort)
					}
					return nil
				},
			},
			&cli.StringFlag{
				Name: "log-level", Usage: "lowest level that is logged: error, warning, info or debug", Value: observe.DefaultLevel,
				Sources: cli.EnvVars("MULBERRY_LOG_LEVEL"),
			},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the checked settings as JSON and exit"},
		}...),
		Action: func(_ context.Context, cmd *cli.Command) error {
			settings, err := nodefile.Load(cmd.String("settings"), role)
			if err != nil {
				return &daemon.UsageError{Err: err}
			}
			if cmd.Bool("print-settings") {
				out := json.NewEncoder(cmd.Root().Writer)
				out.SetIndent("", "  ")
				return out.Encode(settings)
			}
			program, err := make(settings, node.Options{
				MetricsPort: cmd.Int("metrics-port"), LogLevel: cmd.String("log-level"), Gates: gateSettings(cmd),
			})
			if err != nil {
				return err
			}
			reload := func() (*nodefile.Settings, error) { return nodefile.Load(cmd.String("settings"), role) }
			go program.Reload(sig.ctx, sig.hangups, reload)
			return program.Run(sig.ctx)
		},
	}
}
