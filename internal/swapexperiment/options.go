package swapexperiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/table"
)

// Options describe the deployment, workload and swap policy of one experiment.
type Options struct {
	// Engines is the number of engines, spread over Zones availability zones. Each runs Slots
	// streams concurrently.
	Engines int
	Zones   int
	Slots   int
	// TokenTime is the time for one token of a stream that runs alone.
	TokenTime time.Duration
	// LoadTime is how long an engine takes to load new weights.
	LoadTime time.Duration
	// Trainers run steps of Samples samples, one after another, and wait for
	// WaitShare of each; LearnTime is how long a trainer processes a sample.
	Trainers  int
	Samples   int
	WaitShare float64
	LearnTime time.Duration
	// MedianTokens is the median of the log-normal sample lengths.
	MedianTokens float64
	// PublishInterval is the time between two versions of the weights, and StalenessBound how many
	// versions a sample may be behind the one its step declares.
	PublishInterval time.Duration
	StalenessBound  uint64
	// Policy is the swap policy; SwapWindow is the time window of a rolling swap.
	Policy     table.SwapPolicy
	SwapWindow time.Duration
	// Duration is the length of the measurement.
	Duration time.Duration
	Seed     uint64
}

// deploymentOptions returns the options for a deployment of the given size, with the times of
// mid-size models. The Association runs one trainer on 9 engines, Qalhat three on 12.
func deploymentOptions(engines, trainers int) Options {
	return Options{
		Engines: engines, Zones: 3, Slots: 8, TokenTime: 20 * time.Millisecond, LoadTime: 8 * time.Second,
		Trainers: trainers, Samples: 288 / trainers, WaitShare: 0.9, LearnTime: 40 * time.Millisecond * time.Duration(trainers),
		MedianTokens: 250, PublishInterval: 2 * time.Minute, StalenessBound: 1, SwapWindow: 30 * time.Second, Duration: 20 * time.Minute, Seed: 1,
	}
}

// Association returns the options for the deployment of the Heritage Open Days Association.
func Association() Options { return deploymentOptions(9, 1) }

// Qalhat returns the options for the deployment of Qalhat Depot Analytics.
func Qalhat() Options { return deploymentOptions(12, 3) }

// Distribution of the sample lengths, and the size of prompt groups.
const (
	lengthSigma     = 0.5
	stragglerShare  = 0.04
	stragglerFactor = 4
	maxTokens       = 2048
	groupSize       = 8
)

func (o *Options) check() error {
	if o.Engines < 1 || o.Zones < 1 || o.Slots < 1 || o.Trainers < 1 || o.Samples < 1 {
		return trace.BadParameter("swap experiment: engines, zones, slots, trainers and samples must be at least 1")
	}
	if o.PublishInterval <= 0 || o.Duration <= 0 || o.WaitShare <= 0 || o.WaitShare > 1 {
		return trace.BadParameter("swap experiment: publish interval, duration or wait share is out of range")
	}
	return nil
}

// rowName returns the name of a trainer's row, counted from 0.
func rowName(trainer int) string { return fmt.Sprintf("trainer-%d", trainer+1) }

// tableText returns the operators' table, in CSV.
func (o *Options) tableText() string {
	var b strings.Builder
	b.WriteString(strings.Join(table.ColumnNames(), ",") + "\n")
	for i := range o.Trainers {
		fmt.Fprintf(&b, "%s,trainer,%s,1,%d,,,,4000,1h,%g,carry,,%s,\n", rowName(i), model, o.StalenessBound, o.WaitShare, o.Policy)
	}
	return b.String()
}

// samples returns the samples of a step, with random lengths that depend on Seed, trainer and step.
func (o *Options) samples(trainer, step int) []api.SampleRequest {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(trainer)<<32|uint64(step)))
	samples := make([]api.SampleRequest, o.Samples)
	for i := range samples {
		n := o.MedianTokens * math.Exp(lengthSigma*rng.NormFloat64())
		if rng.Float64() < stragglerShare {
			n *= stragglerFactor
		}
		id := fmt.Sprintf("%s-%d-%d", rowName(trainer), step, i)
		samples[i] = api.SampleRequest{
			ID: id, Group: fmt.Sprint(i / groupSize), Seed: int64(i), MaxTokens: maxTokens,
			Prompt: engine.PromptOfLength(min(max(1, int(n)), maxTokens), id),
		}
	}
	return samples
}
