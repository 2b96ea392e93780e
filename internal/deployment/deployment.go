package deployment

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/internal/standin/engine"
	"mulberryscale.example/internal/standin/instances"
	"mulberryscale.example/internal/standin/objects"
	"mulberryscale.example/internal/standin/plain"
	"mulberryscale.example/internal/standin/tableservice"
	"mulberryscale.example/internal/standin/weights"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/table"
	"mulberryscale.example/tablestore"
)

// EngineSpec is a model engine and the agent beside it.
type EngineSpec struct {
	Zone    string
	Options engine.Options
}

// ServiceSpec is a plain service and the agent beside it.
type ServiceSpec struct {
	Zone    string
	ID      string
	Rows    []string
	StandIn *plain.Service
}

// EntrySpec is an entry instance.
type EntrySpec struct {
	Zone string
	ID   string
}

// Options say what a deployment is made of.
type Options struct {
	Fabric   Fabric
	Engines  []EngineSpec
	Services []ServiceSpec
	Entries  []EntrySpec
	// Table is the table's text in CSV; empty leaves the table service without one.
	Table string
	// Retention is how long agents keep runs whose entry is gone.
	Retention time.Duration
	// Agent changes the settings of each agent; it may be nil.
	Agent func(*agent.Config)
	// Entry changes the settings of each entry; it may be nil.
	Entry func(*entry.Config)
	// Log takes the logs of all processes.
	Log *logrus.Logger
	// Seed makes choices repeatable.
	Seed uint64
}

// Deployment is a running deployment. Its methods may be called by one goroutine.
type Deployment struct {
	opts Options
	// The platform's stand-ins.
	Table     *tableservice.Service
	Objects   *objects.Store
	Instances *instances.List
	Weights   *weights.Store
	// Agents and Entries are in the order of the options, the engines' agents
	// before the services'.
	Agents  []*Agent
	Entries []*Entry
	base    context.Context
	stop    context.CancelFunc
}

// Start starts a deployment. Close must be called.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	d := &Deployment{
		opts: opts, Table: tableservice.New(tableservice.Options{}), Objects: objects.New(objects.Options{}),
		Instances: instances.New(instances.Options{}), Weights: weights.New(weights.Options{}),
	}
	d.base, d.stop = context.WithCancel(ctx)
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if d.opts.Table != "" {
		if err := d.Apply(0, d.opts.Table); err != nil {
			return err
		}
	}
	for i := range d.opts.Engines {
		if err := d.addAgent(&Agent{engineSpec: &d.opts.Engines[i], ID: d.opts.Engines[i].Options.ID + "-agent"}); err != nil {
			return err
		}
	}
	for i := range d.opts.Services {
		if err := d.addAgent(&Agent{serviceSpec: &d.opts.Services[i], ID: d.opts.Services[i].ID + "-agent"}); err != nil {
			return err
		}
	}
	for _, spec := range d.opts.Entries {
		e := &Entry{d: d, ID: spec.ID, Zone: spec.Zone}
		d.Entries = append(d.Entries, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) addAgent(a *Agent) error {
	a.d = d
	if err := a.makeEndpoint(); err != nil {
		return err
	}
	d.Agents = append(d.Agents, a)
	return a.Start()
}

// Apply makes the CSV text the version after base of the table.
func (d *Deployment) Apply(base uint64, csv string) error {
	store := tablestore.New(d.Table)
	_, err := store.Apply(d.base, tablestore.ApplyRequest{
		Base: base, ApplyID: uuid.NewString(), Author: "deployment", Format: table.FormatCSV, Body: []byte(csv),
	})
	return trace.Wrap(err, "applying the table")
}

// readyPoll is how often AwaitReady looks.
const readyPoll = 10 * time.Millisecond

// AwaitReady waits until every running entry has the table and hears from every running agent.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for !d.ready() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "the deployment did not become ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (d *Deployment) ready() bool {
	agents := 0
	for _, a := range d.Agents {
		if a.running() {
			agents++
		}
	}
	for _, e := range d.Entries {
		if e.running() && !(e.Entry.Ready() && e.Entry.LiveAgents() >= agents) {
			return false
		}
	}
	return true
}

// EntryURLs are the base URLs of the entries that were started.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, e.URL())
	}
	return urls
}

// Close stops everything at once.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, a := range d.Agents {
		a.Kill()
	}
	d.stop()
}
