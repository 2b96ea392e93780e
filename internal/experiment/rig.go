package experiment

import (
	"context"
	"fmt"
	"time"

	"mulberryscale.example/internal/deployment"
	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/observe"
	"mulberryscale.example/rollout"
	"mulberryscale.example/routing"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/service/entry"
)

// startTimeout bounds how long a deployment may take until it is ready.
const startTimeout = 20 * time.Second

// Policy is a placement policy for samples.
type Policy struct {
	Name string
	// training returns a picker of agents for training samples; nil means the product's own.
	training func() routing.Picker
	rollout  rollout.Policy
}

// unlimitedBacklog makes a policy send every sample immediately, without waiting for a free slot.
const unlimitedBacklog = 1 << 20

// Policies returns the policies in the order in which they are compared; the last is the
// product's own.
func Policies() []Policy {
	return []Policy{
		{Name: "round_robin", training: func() routing.Picker { return &routing.RoundRobin{} },
			rollout: rollout.Policy{Backlog: unlimitedBacklog, NoMoves: true}},
		{Name: "least_load", rollout: rollout.Policy{Backlog: unlimitedBacklog, NoMoves: true}},
		{Name: "late_binding", rollout: rollout.Policy{NoMoves: true}},
		{Name: "product"},
	}
}

// rig is a running deployment of a workload.
type rig struct {
	w      *Workload
	fabric *deployment.Memory
	d      *deployment.Deployment
}

// newRig starts a deployment with two entries and waits until it is ready.
func newRig(ctx context.Context, w *Workload, p Policy, seed uint64) (*rig, error) {
	fabric := deployment.NewMemory()
	opts := deployment.Options{
		Fabric: fabric, Table: w.Table(), Log: observe.Discard(), Seed: seed,
		Agent: func(c *agent.Config) { c.TargetInterval = 200 * time.Millisecond },
		Entry: func(c *entry.Config) {
			c.Policy = p.rollout
			if p.training != nil {
				c.Training = p.training()
			}
		},
	}
	for i := range 2 {
		opts.Entries = append(opts.Entries, deployment.EntrySpec{
			ID: fmt.Sprintf("entry-%d", i+1), Zone: w.Zones[i%len(w.Zones)],
		})
	}
	for i := range w.Engines {
		opts.Engines = append(opts.Engines, deployment.EngineSpec{
			Zone: w.Zones[i%len(w.Zones)],
			Options: engine.Options{
				ID: fmt.Sprintf("engine-%d", i+1), Slots: w.Slots, TokenTime: w.TokenTime,
				BatchSlowdown: w.BatchSlowdown, PrefillTime: w.PrefillTime,
				Models: map[string]uint64{w.Model: 1}, LoadTime: time.Second,
			},
		})
	}
	d, err := deployment.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.AwaitReady(ready); err != nil {
		d.Close()
		return nil, err
	}
	return &rig{w: w, fabric: fabric, d: d}, nil
}

func (r *rig) close() {
	r.d.Close()
	r.fabric.Close()
}

// generated returns the number of tokens that all engines have generated.
func (r *rig) generated() int {
	n := 0
	for _, a := range r.d.Agents {
		for _, rec := range a.StandIn.Records() {
			for _, s := range rec.Spans {
				n += s.Tokens
			}
		}
	}
	return n
}
