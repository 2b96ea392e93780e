package main

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/loadview"
	"mulberryscale.example/settings"
)

// Flags of load.
const (
	flagMetrics  = "metrics"
	flagInterval = "interval"
)

// defaultLoadInterval is long enough for counts of single requests to be told from a trend, and
// short enough to wait for.
const defaultLoadInterval = 2 * time.Second

// loadCommand returns the command that shows what services were asked for and what became of it.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "show what services were asked for, what waits and what was refused, windows, paces and deferred groups",
		Description: "With --store, the paces of the engines are read from the platform's store. Counters are those of --interval, or with --interval 0s since each process has started. If processes do\n" +
			"not answer, the load of the others is shown and the exit status is 1.",
		Flags: []cli.Flag{
			storeFlag(),
			&cli.StringFlag{
				Name: flagMetrics, Usage: "addresses of the processes' metrics listeners, ip:port,...", Sources: cli.EnvVars(settings.EnvName(flagMetrics)), Required: true,
			},
			&cli.DurationFlag{
				Name: flagInterval, Usage: "time over which requests are counted; 0s for since each process has started", Value: defaultLoadInterval,
				Validator: func(d time.Duration) error {
					if d < 0 {
						return errors.New("want 0s or more")
					}
					return nil
				},
			},
		},
		Action: withTimeout(showLoad),
	}
}

func showLoad(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0, 0); err != nil {
		return err
	}
	client := &operatorClient{}
	for text := range strings.SplitSeq(cmd.String(flagMetrics), ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return daemon.Usagef("--%s: want ip:port, got %q", flagMetrics, text)
		}
		client.addresses = append(client.addresses, addr.String())
	}
	documents, err := client.loadOver(ctx, cmd.Duration(flagInterval))
	if cmd.String(flagStore) != "" {
		engines, pacesErr := storedPaces(ctx, cmd)
		documents = append(documents, loadview.Document{Load: loadview.Load{Engines: engines}})
		err = errors.Join(err, pacesErr)
	}
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err(), "read the load")
	}
	load := loadview.Merge(documents)
	if daemon.OutputOf(cmd) == daemon.OutputJSON {
		return errors.Join(write(cmd, daemon.Table{}, load), err)
	}
	return errors.Join(load.Write(cmd.Root().Writer), err)
}

// loadOver returns the documents of the processes that answer, with the counters of an interval.
func (o *operatorClient) loadOver(ctx context.Context, interval time.Duration) ([]loadview.Document, error) {
	former := map[string]loadview.Document{}
	if interval > 0 {
		documents, _ := o.loads(ctx) // those that do not answer are reported by the second read
		for _, d := range documents {
			former[d.Process] = d
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(interval):
		}
	}
	documents, err := o.loads(ctx)
	for i, d := range documents {
		documents[i] = d.Since(former[d.Process])
	}
	return documents, err
}

// loads returns the documents of the processes that answer. The error joins those of the others.
func (o *operatorClient) loads(ctx context.Context) ([]loadview.Document, error) {
	answers := make([]*loadview.Document, len(o.addresses))
	err := o.callAll(func(i int, addr string) error {
		var d loadview.Document
		if err := o.call(ctx, http.MethodGet, addr, loadview.Path, &d); err != nil {
			return err
		}
		answers[i] = &d
		return nil
	})
	var documents []loadview.Document
	for _, d := range answers {
		if d != nil {
			documents = append(documents, *d)
		}
	}
	return documents, err
}
