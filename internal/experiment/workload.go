package experiment

import (
	"embed"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"mulberryscale.example/api"
	"mulberryscale.example/internal/standin/engine"
)

//go:embed workloads/*.yaml
var workloadFiles embed.FS

// Workload describes a deployment and its load, as read from a YAML file.
type Workload struct {
	Name    string   `yaml:"name"`
	Model   string   `yaml:"model"`
	Zones   []string `yaml:"zones"`
	Engines int      `yaml:"engines"`
	// Slots is the number of streams that an engine runs in one batch.
	Slots int `yaml:"slots"`
	// TokenTime is the time for one token of a stream that runs alone. Each further stream in the
	// batch adds the fraction BatchSlowdown to it.
	TokenTime     time.Duration `yaml:"token_time"`
	BatchSlowdown float64       `yaml:"batch_slowdown"`
	// PrefillTime is the time for one token of a prompt, or of the prefix of a resumed sample,
	// that is not in the engine's cache.
	PrefillTime time.Duration `yaml:"prefill_time"`
	Trainers    []Trainer     `yaml:"trainers"`
	Lookups     Lookups       `yaml:"lookups"`
	Lengths     Lengths       `yaml:"lengths"`
	// LearnTime is how long a trainer processes each sample.
	LearnTime time.Duration `yaml:"learn_time"`
}

// Trainer describes the steps of one trainer, with Samples samples each in groups of Group.
type Trainer struct {
	Row       string  `yaml:"row"`
	Samples   int     `yaml:"samples"`
	Group     int     `yaml:"group"`
	Share     float64 `yaml:"share"`
	WaitShare float64 `yaml:"wait_share"`
}

// Lookups describes the interactive requests, whose lengths are log-normal.
type Lookups struct {
	Row          string  `yaml:"row"`
	Share        float64 `yaml:"share"`
	MedianTokens float64 `yaml:"median_tokens"`
	Sigma        float64 `yaml:"sigma"`
}

// Lengths is a log-normal distribution of sample lengths, in which a StragglerShare of the
// samples is longer by StragglerFactor. MaxTokens caps all lengths.
type Lengths struct {
	MedianTokens    float64 `yaml:"median_tokens"`
	Sigma           float64 `yaml:"sigma"`
	StragglerShare  float64 `yaml:"straggler_share"`
	StragglerFactor float64 `yaml:"straggler_factor"`
	MaxTokens       int     `yaml:"max_tokens"`
}

// WorkloadNames returns the names of the built-in workloads.
func WorkloadNames() []string {
	entries, err := workloadFiles.ReadDir("workloads")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// LoadWorkload reads a built-in workload by name.
func LoadWorkload(name string) (*Workload, error) {
	text, err := workloadFiles.ReadFile("workloads/" + name + ".yaml")
	if err != nil {
		return nil, trace.BadParameter("no workload %q; there are %s", name, strings.Join(WorkloadNames(), ", "))
	}
	return ParseWorkload(text)
}

// ParseWorkload parses a workload from YAML and validates it. Unknown fields are errors.
func ParseWorkload(text []byte) (*Workload, error) {
	w := new(Workload)
	d := yaml.NewDecoder(strings.NewReader(string(text)))
	d.KnownFields(true)
	if err := d.Decode(w); err != nil {
		return nil, trace.BadParameter("workload: %v", err)
	}
	return w, w.check()
}

func (w *Workload) check() error {
	switch {
	case w.Engines < 1 || w.Slots < 1 || len(w.Zones) == 0:
		return trace.BadParameter("workload %s: engines, slots and zones are needed", w.Name)
	case w.TokenTime <= 0:
		return trace.BadParameter("workload %s: token_time must be positive", w.Name)
	case w.Lengths.MaxTokens < 1:
		return trace.BadParameter("workload %s: max_tokens must be positive", w.Name)
	}
	for _, t := range w.Trainers {
		if t.Samples < 1 || t.Group < 1 || t.WaitShare <= 0 || t.WaitShare > 1 {
			return trace.BadParameter("workload %s: trainer %s: samples, group or wait_share out of range", w.Name, t.Row)
		}
	}
	return nil
}

// Table returns the operators' table for the workload, in CSV.
func (w *Workload) Table() string {
	var b strings.Builder
	b.WriteString("name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable\n")
	fmt.Fprintf(&b, "%s,service,%s,%g,,,,,64,2s,,,,at_once,\n", w.Lookups.Row, w.Model, w.Lookups.Share)
	for _, t := range w.Trainers {
		fmt.Fprintf(&b, "%s,trainer,%s,%g,4,,,,4096,10m,%g,carry,,at_once,\n", t.Row, w.Model, t.Share, t.WaitShare)
	}
	return b.String()
}

// draw returns a random length in tokens.
func (l *Lengths) draw(rng *rand.Rand) int {
	n := l.MedianTokens * math.Exp(l.Sigma*rng.NormFloat64())
	if rng.Float64() < l.StragglerShare {
		n *= l.StragglerFactor
	}
	return min(max(1, int(n)), l.MaxTokens)
}

// step returns the samples of one step of a trainer and their random lengths in tokens.
func (w *Workload) step(t *Trainer, step int, seed uint64) (samples []api.SampleRequest, lengths []int) {
	rng := rand.New(rand.NewPCG(seed, uint64(step)))
	for i := range t.Samples {
		n := w.Lengths.draw(rng)
		lengths = append(lengths, n)
		samples = append(samples, api.SampleRequest{
			ID:        fmt.Sprintf("%s-%d-%d", t.Row, step, i),
			Group:     fmt.Sprint(i / t.Group),
			Prompt:    engine.PromptOfLength(n, fmt.Sprintf("%s %d group %d", t.Row, step, i/t.Group)),
			MaxTokens: w.Lengths.MaxTokens,
			Seed:      int64(i),
		})
	}
	return samples, lengths
}

// LowerBound returns a lower bound on the time of a step that needs the given number of samples
// on these engines, even for a schedule that knows all lengths. It assumes that the needed samples
// are the shortest ones, and takes the longer of two times: that of all their tokens with all slots
// full, and that of the longest of them running alone on an engine.
func (w *Workload) LowerBound(lengths []int, needed int) time.Duration {
	sorted := slices.Sorted(slices.Values(lengths))[:needed]
	total := 0
	for _, n := range sorted {
		total += n
	}
	busy := time.Duration(float64(total) / w.TokensPerSecond() * float64(time.Second))
	longest := time.Duration(sorted[needed-1]) * w.TokenTime
	return max(busy, longest)
}

// TokensPerSecond returns the rate at which all engines together generate with full batches.
func (w *Workload) TokensPerSecond() float64 {
	perToken := w.TokenTime.Seconds() * (1 + w.BatchSlowdown*float64(w.Slots-1))
	return float64(w.Engines*w.Slots) / perToken
}
