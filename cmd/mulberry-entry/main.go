// Command mulberry-entry runs an entry instance: it serves the HTTP API of
// callers and trainers behind the platform's load balancer.
package main

import (
	"context"
	"os"

	"mulberryscale.example/daemon"
)

const programExamples = `  mulberry-entry --id entry-1 --zone patan --listen 127.0.0.1:8080 --peer-listen 127.0.0.1:7001 \
    --table-service http://127.0.0.1:9001 --instance-list http://127.0.0.1:9003 \
    --ca ca.pem --cert entry-1.pem --key entry-1.key --admin 127.0.0.1:8081`

func main() {
	s := newSettings()
	cmd := daemon.NewCommand(daemon.CommandOptions{
		Usage:    "serve callers and trainers",
		Examples: programExamples,
		Settings: s.set,
		Run:      func(ctx context.Context) error { return run(ctx, s) },
	})
	os.Exit(daemon.Main(cmd, os.Args, os.Stderr))
}
