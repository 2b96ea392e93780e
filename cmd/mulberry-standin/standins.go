package main

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/gate"
	"mulberryscale.example/internal/standin/instances"
	"mulberryscale.example/internal/standin/objects"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/internal/standin/scorer"
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/internal/standin/weights"
)

func engineCommand() *cli.Command {
	flags := []cli.Flag{
		idFlag(),
		&cli.IntFlag{Name: "slots", Value: engine.DefaultSlots, Validator: nonNegative[int], Usage: "streams that run concurrently", Sources: env("SLOTS")},
		&cli.DurationFlag{Name: "token-time", Value: engine.DefaultTokenTime, Validator: nonNegative[time.Duration], Usage: "time for each token of a single stream", Sources: env("TOKEN_TIME")},
		&cli.FloatFlag{Name: "batch-slowdown", Validator: nonNegative[float64], Usage: "fraction by which each further stream lengthens the token time", Sources: env("BATCH_SLOWDOWN")},
		&cli.IntFlag{Name: "chunk-tokens", Value: engine.DefaultChunkTokens, Validator: nonNegative[int], Usage: "most tokens in a chunk", Sources: env("CHUNK_TOKENS")},
		&cli.DurationFlag{Name: "prefill-time", Validator: nonNegative[time.Duration], Usage: "time for a prompt token that is not cached", Sources: env("PREFILL_TIME")},
		&cli.IntFlag{Name: "cache-tokens", Value: engine.DefaultCacheTokens, Validator: nonNegative[int], Usage: "size of the prefix cache", Sources: env("CACHE_TOKENS")},
		&cli.DurationFlag{Name: "event-lag", Validator: nonNegative[time.Duration], Usage: "delay until cache events are listed", Sources: env("EVENT_LAG")},
		&cli.FloatFlag{Name: "event-gap", Validator: nonNegative[float64], Usage: "fraction of the cache events that is never listed", Sources: env("EVENT_GAP")},
		&cli.DurationFlag{Name: "load-time", Validator: nonNegative[time.Duration], Usage: "time to load a model", Sources: env("LOAD_TIME")},
		&cli.StringSliceFlag{Name: "model", Usage: "model loaded at the start, `name=version`; may be repeated", Sources: env("MODEL")},
		&cli.BoolFlag{Name: "ignore-fence", Usage: "obey orders with an old fencing token", Sources: env("IGNORE_FENCE")},
		&cli.Int64Flag{Name: "seed", Usage: "varies which cache events are lost", Sources: env("SEED")},
	}
	return standin("engine", "a model engine that batches continuously", flags, func(c *cli.Command) (http.Handler, error) {
		models, err := parseModels(c.StringSlice("model"))
		if err != nil {
			return nil, err
		}
		opts := engine.Options{
			ID:            c.String("id"),
			Slots:         c.Int("slots"),
			TokenTime:     c.Duration("token-time"),
			BatchSlowdown: c.Float("batch-slowdown"),
			ChunkTokens:   c.Int("chunk-tokens"),
			PrefillTime:   c.Duration("prefill-time"),
			CacheTokens:   c.Int("cache-tokens"),
			EventLag:      c.Duration("event-lag"),
			EventGap:      c.Float("event-gap"),
			LoadTime:      c.Duration("load-time"),
			Models:        models,
			IgnoreFence:   c.Bool("ignore-fence"),
			Seed:          c.Int64("seed"),
		}
		return engine.New(opts).Handler(), nil
	})
}

// parseModels parses "name=version" pairs.
func parseModels(pairs []string) (map[string]uint64, error) {
	models := make(map[string]uint64, len(pairs))
	for _, pair := range pairs {
		name, text, found := strings.Cut(pair, "=")
		version, err := strconv.ParseUint(text, 10, 64)
		if !found || name == "" || err != nil {
			return nil, trace.BadParameter("--model: want name=version, got %q", pair)
		}
		models[name] = version
	}
	return models, nil
}

func serviceCommand() *cli.Command {
	return standin("service", "a plain service that echoes each call", plainFlags(), func(c *cli.Command) (http.Handler, error) {
		return plain.New(plainOptions(c)).Handler(), nil
	})
}

func scorerCommand() *cli.Command {
	return standin("scorer", "a service that scores samples by POST /score", plainFlags(), func(c *cli.Command) (http.Handler, error) {
		return scorer.New(plainOptions(c)).Handler(), nil
	})
}

func plainFlags() []cli.Flag {
	return []cli.Flag{
		idFlag(),
		&cli.DurationFlag{Name: "delay", Validator: nonNegative[time.Duration], Usage: "time from a call's execution to its response", Sources: env("DELAY")},
	}
}

func plainOptions(c *cli.Command) plain.Options {
	return plain.Options{ID: c.String("id"), Delay: c.Duration("delay")}
}

func tableCommand() *cli.Command {
	return standin("table", "the transactional table service", limitFlags(), func(c *cli.Command) (http.Handler, error) {
		return tableservice.New(tableservice.Options{Limits: gateLimits(c)}).Handler(), nil
	})
}

func objectsCommand() *cli.Command {
	return standin("objects", "the object store", limitFlags(), func(c *cli.Command) (http.Handler, error) {
		return objects.New(objects.Options{Limits: gateLimits(c)}).Handler(), nil
	})
}

func instancesCommand() *cli.Command {
	flags := append(limitFlags(), &cli.DurationFlag{Name: "lag", Validator: nonNegative[time.Duration], Usage: "age of the returned list", Sources: env("LAG")})
	return standin("instances", "the lagging instance list", flags, func(c *cli.Command) (http.Handler, error) {
		return instances.New(instances.Options{Lag: c.Duration("lag"), Limits: gateLimits(c)}).Handler(), nil
	})
}

func weightsCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.FloatFlag{Name: "calls", Validator: nonNegative[float64], Usage: "calls a second, 0 for no limit", Sources: env("CALLS")},
		&cli.FloatFlag{Name: "bytes", Validator: nonNegative[float64], Usage: "bytes of parts a second, 0 for no limit", Sources: env("BYTES")},
	}
	return standin("weights", "the rate-limited weight store", flags, func(c *cli.Command) (http.Handler, error) {
		opts := weights.Options{CallsPerSecond: c.Float("calls"), BytesPerSecond: c.Float("bytes")}
		return weights.New(opts).Handler(), nil
	})
}

// nonNegative is a flag validator that refuses values below zero.
func nonNegative[T cmp.Ordered](v T) error {
	var zero T
	if v < zero {
		return trace.BadParameter("want 0 or more, got %v", v)
	}
	return nil
}

func idFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "name used in errors", Sources: env("ID")}
}

func limitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: "reads", Validator: nonNegative[float64], Usage: "reads a second, 0 for no limit", Sources: env("READS")},
		&cli.FloatFlag{Name: "writes", Validator: nonNegative[float64], Usage: "writes a second, 0 for no limit", Sources: env("WRITES")},
	}
}

func gateLimits(c *cli.Command) gate.Limits {
	return gate.Limits{Reads: c.Float("reads"), Writes: c.Float("writes")}
}
