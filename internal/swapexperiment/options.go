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

// Options are one experiment's workload.
type Options struct {
	// Engines stand in Zones; each runs Slots streams at once.
	Engines int
	Zones   int
	Slots   int
	// TokenTime is the time of a token of a stream that runs alone.
	TokenTime time.Duration
	// LoadTime is how long an engine loads new weights.
	LoadTime time.Duration
	// Trainers run steps of Samples samples, one after another, and wait for
	// WaitShare of each; LearnTime is a trainer's own work on a sample.
	Trainers  int
	Samples   int
	WaitShare float64
	LearnTime time.Duration
	// MedianTokens is the median of a log-normal length.
	MedianTokens float64
	// Every is the time between two versions of the weights, and Bound how
	// many versions old a sample may be.
	Every time.Duration
	Bound uint64
	// Policy is the swap policy; Window is that of a rolling swap.
	Policy table.SwapPolicy
	Window time.Duration
	// Duration is the time measured.
	Duration time.Duration
	Seed     uint64
}

// Deployments' sizes. The Association runs one trainer on 9 engines, Qalhat
// three on 12; times are those of mid-size models.
func deploymentOptions(engines, trainers int) Options {
	return Options{
		Engines: engines, Zones: 3, Slots: 8, TokenTime: 20 * time.Millisecond, LoadTime: 8 * time.Second,
		Trainers: trainers, Samples: 288 / trainers, WaitShare: 0.9, LearnTime: 40 * time.Millisecond * time.Duration(trainers),
		MedianTokens: 250, Every: 2 * time.Minute, Bound: 1, Window: 30 * time.Second, Duration: 20 * time.Minute, Seed: 1,
	}
}

// Association is the Heritage Open Days Association's deployment.
func Association() Options { return deploymentOptions(9, 1) }

// Qalhat is Qalhat Depot Analytics' deployment.
func Qalhat() Options { return deploymentOptions(12, 3) }

// Shapes of the lengths.
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
	if o.Every <= 0 || o.Duration <= 0 || o.WaitShare <= 0 || o.WaitShare > 1 {
		return trace.BadParameter("swap experiment: every, duration or wait_share is out of range")
	}
	return nil
}

// rowOf names a trainer's row.
func rowOf(trainer int) string { return fmt.Sprintf("trainer-%d", trainer+1) }

// tableText is the operators' table, in CSV.
func (o *Options) tableText() string {
	var b strings.Builder
	b.WriteString(strings.Join(table.ColumnNames(), ",") + "\n")
	for i := range o.Trainers {
		fmt.Fprintf(&b, "%s,trainer,%s,1,%d,,,,4000,1h,%g,carry,,%s,\n", rowOf(i), model, o.Bound, o.WaitShare, o.Policy)
	}
	return b.String()
}

// samples draws a step's samples.
func (o *Options) samples(trainer, step int) []api.SampleRequest {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(trainer)<<32|uint64(step)))
	samples := make([]api.SampleRequest, o.Samples)
	for i := range samples {
		n := o.MedianTokens * math.Exp(lengthSigma*rng.NormFloat64())
		if rng.Float64() < stragglerShare {
			n *= stragglerFactor
		}
		id := fmt.Sprintf("%s-%d-%d", rowOf(trainer), step, i)
		samples[i] = api.SampleRequest{
			ID: id, Group: fmt.Sprint(i / groupSize), Seed: int64(i), MaxTokens: maxTokens,
			Prompt: engine.PromptOfLength(min(max(1, int(n)), maxTokens), id),
		}
	}
	return samples
}
