package experiment

import (
	"context"
	"math"
	"strings"
	"time"
)

// ShareResult is one row's share of the generated tokens while all rows saturated the engines.
type ShareResult struct {
	Row string `json:"row"`
	// Want is the configured share and Got the measured one, both as fractions of 1.
	Want float64 `json:"want"`
	Got  float64 `json:"got"`
	// Deviation is the absolute difference relative to Want.
	Deviation float64 `json:"deviation"`
}

// RunShares measures the shares for the duration d while all trainers of a workload saturate a
// few engines.
func RunShares(ctx context.Context, w *Workload, d time.Duration, seed uint64) ([]ShareResult, error) {
	w = w.small()
	r, err := newRig(ctx, w, Policies()[len(Policies())-1], seed)
	if err != nil {
		return nil, err
	}
	defer r.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trainersDone, err := r.startTrainers(ctx, w.Trainers, seed)
	if err != nil {
		return nil, err
	}
	time.Sleep(d / 4) // until all trainers saturate the engines
	before := r.tokensByRow()
	time.Sleep(d)
	after := r.tokensByRow()
	cancel()
	trainersDone.Wait()
	return w.shares(before, after), nil
}

func (w *Workload) shares(before, after map[string]int) []ShareResult {
	shares, tokens := 0.0, 0
	for _, t := range w.Trainers {
		shares += t.Share
		tokens += after[t.Row] - before[t.Row]
	}
	var results []ShareResult
	for _, t := range w.Trainers {
		want := t.Share / shares
		got := float64(after[t.Row]-before[t.Row]) / float64(tokens)
		results = append(results, ShareResult{Row: t.Row, Want: want, Got: got, Deviation: math.Abs(got-want) / want})
	}
	return results
}

// tokensByRow returns the number of tokens that the engines have generated for each trainer.
func (r *rig) tokensByRow() map[string]int {
	tokens := map[string]int{}
	for _, a := range r.d.Agents {
		for _, rec := range a.StandIn.Records() {
			for _, t := range r.w.Trainers {
				if !strings.Contains(rec.Prompt, t.Row+" ") {
					continue
				}
				for _, s := range rec.Spans {
					tokens[t.Row] += s.Tokens
				}
			}
		}
	}
	return tokens
}
