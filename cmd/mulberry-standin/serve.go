package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
)

// Time limits of a stand-in's server.
const (
	headerTimeout = 5 * time.Second
	defaultGrace  = 30 * time.Second
)

// envPrefix is the prefix of each flag's environment variable.
const envPrefix = "MULBERRY_STANDIN_"

// Flags common to all stand-ins.
const (
	flagListen = "listen"
	flagGrace  = "grace"
)

// standin returns a subcommand that serves the handler that makeHandler returns.
func standin(name, usage string, flags []cli.Flag, makeHandler func(*cli.Command) (http.Handler, error)) *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: flagListen, Value: "127.0.0.1:0", Usage: "address to listen on, `ip:port`", Sources: env("LISTEN")},
		&cli.DurationFlag{Name: flagGrace, Value: defaultGrace, Usage: "how long a stop waits for the running calls", Sources: env("GRACE")},
	}
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append(common, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			handler, err := makeHandler(c)
			if err != nil {
				return &daemon.UsageError{Err: err}
			}
			return serve(ctx, c, handler)
		},
	}
}

func env(name string) cli.ValueSourceChain { return cli.EnvVars(envPrefix + name) }

// serve serves until ctx is done or a signal arrives, then waits for the calls in progress.
func serve(ctx context.Context, c *cli.Command, handler http.Handler) error {
	if c.Args().Present() {
		return daemon.Usagef("unexpected argument %q", c.Args().First())
	}
	if _, err := netip.ParseAddrPort(c.String(flagListen)); err != nil {
		return daemon.Usagef("--%s: want ip:port: %v", flagListen, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", c.String(flagListen))
	if err != nil {
		return trace.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Fprintln(c.Root().Writer, "listening", listener.Addr())
	select {
	case err := <-served:
		return trace.Wrap(err, "serve")
	case <-ctx.Done():
		return shutdown(server, c.Duration(flagGrace))
	}
}

func shutdown(server *http.Server, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "stop: calls still ran after %s", grace)
	}
	return nil
}
