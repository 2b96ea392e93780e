package main

import (
	"context"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/platform/httpplatform"
	"mulberryscale.example/settings"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

// Flags of the whole program.
const (
	flagTableService = "table-service"
	flagTimeout      = "timeout"
)

const defaultTimeout = 30 * time.Second

const examples = `Examples:
  mulberryctl check table.csv
  mulberryctl get > table.csv                  the file names the version it was made from
  mulberryctl apply table.csv                  shows the difference and asks
  mulberryctl apply --base 7 --yes table.csv   for version control
  mulberryctl rollback 6
  mulberryctl status --operators 127.0.0.1:9400,127.0.0.1:9401 --wait 30s
  mulberryctl explain 9c41d07be2a35f68 entry-*.log agent-*.log
  mulberryctl jobs --store 10.200.1.7:8266     on the users' platform; also engines and config
  mulberryctl load --metrics 10.200.1.7:9911,10.200.1.8:9911 --store 10.200.1.7:8266

Exit status: 0 done, 1 failed or refused, 2 wrong usage or a table file with mistakes.`

func command() *cli.Command {
	return &cli.Command{
		Name:        "mulberryctl",
		Usage:       "edit and inspect the table of a mulberryscale service",
		Description: examples,
		Flags: []cli.Flag{
			// Values from the environment are checked where they are used, so that
			// an invalid one does not fail the commands that do not need it.
			&cli.StringFlag{
				Name:    flagTableService,
				Usage:   "the platform's table service, http://ip:port",
				Sources: cli.EnvVars(settings.EnvName(flagTableService)),
			},
			&cli.StringFlag{
				Name:    flagTimeout,
				Usage:   "time limit of the command, without the time that an operator takes to confirm",
				Sources: cli.EnvVars(settings.EnvName(flagTimeout)),
				Value:   defaultTimeout.String(),
			},
			daemon.OutputFlag(),
		},
		Commands: []*cli.Command{
			checkCommand(),
			applyCommand(),
			getCommand(),
			diffCommand(),
			historyCommand(),
			rollbackCommand(),
			statusCommand(),
			drainCommand(),
			keysCommand(),
			explainCommand(),
			profileCommand(),
			jobsCommand(),
			dutiesCommand(),
			quarantineCommand(),
			enginesCommand(),
			loadCommand(),
			configCommand(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return daemon.Usagef("no command %q; see mulberryctl --help", name)
			}
			return daemon.Usagef("name a command; see mulberryctl --help")
		},
	}
}

// withTimeout limits the time of an action to the value of --timeout.
func withTimeout(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		timeout, err := commandTimeout(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return action(ctx, cmd)
	}
}

// confirmedEdit is a command in two steps, with the operator's confirmation between
// them: plan computes the difference, commit writes. The timeout applies to each step
// separately and not to the confirmation.
type confirmedEdit struct {
	plan   func(ctx context.Context, cmd *cli.Command) (question string, changes []table.Change, err error)
	commit func(ctx context.Context, cmd *cli.Command) error
}

// run asks for confirmation between the steps, unless plan returns no question.
func (e confirmedEdit) run(ctx context.Context, cmd *cli.Command) error {
	var question string
	var changes []table.Change
	err := withTimeout(func(ctx context.Context, cmd *cli.Command) (err error) {
		question, changes, err = e.plan(ctx, cmd)
		return err
	})(ctx, cmd)
	if err != nil {
		return err
	}
	if question != "" {
		if err := confirm(cmd, changes, question); err != nil {
			return err
		}
	}
	return withTimeout(e.commit)(ctx, cmd)
}

func commandTimeout(cmd *cli.Command) (time.Duration, error) {
	text := cmd.String(flagTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, daemon.Usagef("--%s: want a duration of more than 0s, got %q", flagTimeout, text)
	}
	return timeout, nil
}

func openStore(cmd *cli.Command) (*tablestore.Store, error) {
	address := cmd.String(flagTableService)
	if address == "" {
		return nil, daemon.Usagef("--%s or %s is needed", flagTableService, settings.EnvName(flagTableService))
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, daemon.Usagef("--%s: want http://ip:port, got %q", flagTableService, address)
	}
	return tablestore.New(httpplatform.NewTable(address)), nil
}

// checkArgs returns a usage error unless the number of arguments is from low to high.
func checkArgs(cmd *cli.Command, low, high int) error {
	if n := cmd.Args().Len(); n < low || n > high {
		return daemon.Usagef("want: mulberryctl %s %s", cmd.Name, cmd.ArgsUsage)
	}
	return nil
}
