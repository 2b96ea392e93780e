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

// EngineSpec describes a model engine with an agent.
type EngineSpec struct {
	Zone    string
	Options engine.Options
}

// ServiceSpec describes a plain service with an agent.
type ServiceSpec struct {
	Zone    string
	ID      string
	Rows    []string
	StandIn *plain.Service
}

// EntrySpec describes an entry instance.
type EntrySpec struct {
	Zone string
	ID   string
}

// Options configures a deployment.
type Options struct {
	Fabric   Fabric
	Engines  []EngineSpec
	Services []ServiceSpec
	Entries  []EntrySpec
	// Table is the table's text in CSV; if empty, the table service has no table.
	Table string
	// Retention is how long agents keep runs after the entry that started them is gone.
	Retention time.Duration
	// Agent, if not nil, modifies the settings of each agent.
	Agent func(*agent.Config)
	// Entry, if not nil, modifies the settings of each entry.
	Entry func(*entry.Config)
	// Log is the logger of all processes.
	Log *logrus.Logger
	// Seed makes random choices repeatable.
	Seed uint64
}

// Deployment is a running deployment. Its methods are not safe for concurrent use.
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
	ctx     context.Context
	cancel  context.CancelFunc
}

// Start starts a deployment, which runs until ctx is done or Close is called. The
// caller must call Close.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	d := &Deployment{
		opts: opts, Table: tableservice.New(tableservice.Options{}), Objects: objects.New(objects.Options{}),
		Instances: instances.New(instances.Options{}), Weights: weights.New(weights.Options{}),
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
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

// Apply applies the CSV text as the table's version after base.
func (d *Deployment) Apply(base uint64, csv string) error {
	store := tablestore.New(d.Table)
	_, err := store.Apply(d.ctx, tablestore.ApplyRequest{
		Base: base, ApplyID: uuid.NewString(), Author: "deployment", Format: table.FormatCSV, Body: []byte(csv),
	})
	return trace.Wrap(err, "applying the table")
}

// readyPollInterval is the time between AwaitReady's checks.
const readyPollInterval = 10 * time.Millisecond

// AwaitReady waits until every running entry has the table and a live connection to
// every running agent. The error is that of ctx.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for !d.ready() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "the deployment did not become ready")
		case <-time.After(readyPollInterval):
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

// EntryURLs returns the base URLs of all entries, in the order of Options.Entries.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.Entries {
		urls = append(urls, e.URL())
	}
	return urls
}

// Close kills all processes without draining them.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		e.Kill()
	}
	for _, a := range d.Agents {
		a.Kill()
	}
	d.cancel()
}
