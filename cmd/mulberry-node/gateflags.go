package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/forward"
	"mulberryscale.example/retrybudget"
)

// Names of the flags of an entry's gates.
const (
	flagQueueWait   = "max-queue-wait"
	flagHeldBytes   = "max-held-bytes"
	flagSecondSends = "second-send-share"
)

// Bounds of the flags' values.
const (
	maxQueueWait = time.Minute
	// minHeldBytes leaves room for some requests with their headers and answers.
	minHeldBytes = 64 << 10
	maxHeldBytes = 1 << 30
)

// heldBytesShare is the share of the process's memory that may be held for clients.
const heldBytesShare = 8

// defaultHeldBytes is the default bound of the bytes held for clients: 16 MB, or an eighth of the
// process's memory if that is less.
func defaultHeldBytes() int { return min(forward.DefaultMaxBytes, memoryLimit/heldBytesShare) }

// gateFlags returns the flags that bound an entry's requests to services that have a gate.
func gateFlags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{
			Name: flagQueueWait, Usage: "longest wait of a request for admission to its service, 0 for until its deadline", Value: forward.DefaultMaxWait,
			Sources: cli.EnvVars("MULBERRY_MAX_QUEUE_WAIT"), Validator: checkQueueWait,
		},
		&cli.IntFlag{
			Name: flagHeldBytes, Usage: "bytes of requests that wait and of answers that are written", Value: defaultHeldBytes(),
			Sources: cli.EnvVars("MULBERRY_MAX_HELD_BYTES"), Validator: checkHeldBytes,
		},
		&cli.FloatFlag{
			Name: flagSecondSends, Usage: "second sends of a service as a share of its first sends", Value: retrybudget.DefaultShare,
			Sources: cli.EnvVars("MULBERRY_SECOND_SEND_SHARE"), Validator: checkSecondSends,
		},
	}
}

func checkQueueWait(wait time.Duration) error {
	if wait < 0 || wait > maxQueueWait {
		return fmt.Errorf("%s is %s: want 0 to %s", flagQueueWait, wait, maxQueueWait)
	}
	return nil
}

func checkHeldBytes(n int) error {
	if n < minHeldBytes || n > maxHeldBytes {
		return fmt.Errorf("%s is %d: want %d to %d", flagHeldBytes, n, minHeldBytes, maxHeldBytes)
	}
	return nil
}

func checkSecondSends(share float64) error {
	if !(share >= 0 && share <= 1) { // also false for NaN
		return fmt.Errorf("%s is %g: want 0 to 1", flagSecondSends, share)
	}
	return nil
}

// gateSettings returns the values of gateFlags; the zero value for a role without them.
func gateSettings(cmd *cli.Command) forward.GateSettings {
	return forward.GateSettings{
		MaxWait: cmd.Duration(flagQueueWait), MaxBytes: cmd.Int(flagHeldBytes), SecondSends: cmd.Float(flagSecondSends),
	}
}
