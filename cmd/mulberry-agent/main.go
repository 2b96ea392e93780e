// Command mulberry-agent runs beside a model engine or a plain service. All
// requests to that endpoint go through it.
package main

import (
	"context"
	"os"

	"mulberryscale.example/daemon"
)

const programExamples = `  mulberry-agent --id agent-1 --zone patan --listen 127.0.0.1:7101 \
    --engine http://127.0.0.1:9101 --table-service http://127.0.0.1:9001 --weight-store http://127.0.0.1:9004 \
    --ca ca.pem --cert agent-1.pem --key agent-1-key.pem
  mulberry-agent --id agent-2 --zone patan --listen 127.0.0.1:7102 \
    --service http://127.0.0.1:9201 --services listings \
    --ca ca.pem --cert agent-2.pem --key agent-2-key.pem`

func main() {
	s := newSettings()
	cmd := daemon.NewCommand(daemon.CommandOptions{
		Usage:    "serve one model engine or plain service to the entry instances",
		Examples: programExamples,
		Settings: s.set,
		Run:      func(ctx context.Context) error { return run(ctx, s) },
	})
	os.Exit(daemon.Main(cmd, os.Args, os.Stderr))
}
