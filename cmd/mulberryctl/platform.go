package main

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/batch"
	"mulberryscale.example/daemon"
	"mulberryscale.example/fleet"
	"mulberryscale.example/platform/metastore"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/settings"
	"mulberryscale.example/store"
)

const (
	flagStore = "store"
	flagAll   = "all"
)

func storeFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagStore, Usage: "the platform's store, ip:port", Sources: cli.EnvVars(settings.EnvName(flagStore)),
	}
}

// jobsCommand, enginesCommand and configCommand show what stands in the
// platform's store. They only read.
func jobsCommand() *cli.Command {
	return &cli.Command{
		Name: "jobs", Usage: "show the batch jobs in the platform's store that have not been ended",
		Flags: []cli.Flag{storeFlag(), &cli.BoolFlag{
			Name: flagAll, Usage: "also those that were ended; reads all their results",
		}},
		Action: bounded(showJobs),
	}
}

func enginesCommand() *cli.Command {
	return &cli.Command{
		Name: "engines", Usage: "show the registered engines and their weight versions",
		Flags:  []cli.Flag{storeFlag()},
		Action: bounded(showEngines),
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "show the configuration in the platform's store",
		Flags:  []cli.Flag{storeFlag()},
		Action: bounded(showConfig),
	}
}

func openMetastore(cmd *cli.Command) (*metastore.Client, error) {
	if err := wantArgs(cmd, 0, 0); err != nil {
		return nil, err
	}
	addr := cmd.String(flagStore)
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, daemon.Usagef("--%s or %s: want ip:port, got %q", flagStore, settings.EnvName(flagStore), addr)
	}
	return metastore.New(addr), nil
}

// jobLine is the JSON of a job.
type jobLine struct {
	ID         string  `json:"id"`
	Route      string  `json:"route"`
	Model      string  `json:"model"`
	Step       int     `json:"step"`
	MinVersion uint64  `json:"min_version"`
	AgeSeconds float64 `json:"age_seconds"`
	Items      int     `json:"items"`
	Listed     int     `json:"listed"`
	Failed     int     `json:"failed"`
	State      string  `json:"state"`
	Owners     int     `json:"owners"`
}

// States of a job, in the order in which they are shown.
const (
	jobOpen     = "open"
	jobFinished = "finished"
	jobEnded    = "ended"
)

var jobOrder = []string{jobOpen, jobFinished, jobEnded}

func showJobs(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	jobs, err := readJobs(ctx, client, cmd.Bool(flagAll))
	if err != nil {
		return err
	}
	out := daemon.Table{Header: []string{"ID", "ROUTE", "MODEL", "STEP", "MIN VERSION", "AGE", "LISTED", "FAILED", "STATE", "OWNERS"}}
	for _, j := range jobs {
		out.Rows = append(out.Rows, []string{
			j.ID, j.Route, j.Model, fmt.Sprint(j.Step), fmt.Sprint(j.MinVersion), fmt.Sprintf("%.1fs", j.AgeSeconds),
			fmt.Sprintf("%d/%d", j.Listed, j.Items), fmt.Sprint(j.Failed), j.State, fmt.Sprint(j.Owners),
		})
	}
	return write(cmd, out, jobs)
}

// readJobs reads the jobs and counts their results, ended ones only if asked to.
func readJobs(ctx context.Context, rows store.Store, all bool) ([]jobLine, error) {
	ledger := &batch.Ledger{Store: rows}
	s, err := rows.List(ctx, store.Range{Table: batch.TableJobs})
	if err != nil {
		return nil, trace.Wrap(err, "read the jobs")
	}
	ended := map[string]bool{}
	for _, row := range s.Rows {
		if id, end := batch.HeadOf(row.Name); end {
			ended[id] = true
		}
	}
	jobs := []jobLine{}
	for _, row := range s.Rows {
		if _, end := batch.HeadOf(row.Name); end {
			continue
		}
		job, err := batch.DecodeJob(row.Value)
		if err != nil {
			return nil, trace.Wrap(err, "job %s", row.Name)
		}
		if ended[job.ID] && !all {
			continue
		}
		line, err := readJob(ctx, ledger, job, s.Now, ended[job.ID])
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, line)
	}
	slices.SortFunc(jobs, func(a, b jobLine) int {
		return cmp.Or(cmp.Compare(slices.Index(jobOrder, a.State), slices.Index(jobOrder, b.State)), cmp.Compare(a.AgeSeconds, b.AgeSeconds))
	})
	return jobs, nil
}

func readJob(ctx context.Context, ledger *batch.Ledger, job *batch.Job, now time.Duration, ended bool) (jobLine, error) {
	listing, err := ledger.Results(ctx, job.ID)
	if err != nil {
		return jobLine{}, trace.Wrap(err, "read the results of job %s", job.ID)
	}
	line := jobLine{
		ID: job.ID, Route: job.Route, Model: job.Model, Step: job.Step, MinVersion: job.MinVersion,
		AgeSeconds: (now - job.Accepted).Seconds(), Items: job.Items, Listed: len(listing.Results), Owners: len(job.Owners),
		State: jobOpen,
	}
	for i := range listing.Results {
		if listing.Results[i].State == batch.StateFailed {
			line.Failed++
		}
	}
	switch {
	case ended:
		line.State = jobEnded
	case line.Listed == line.Items:
		line.State = jobFinished
	}
	return line, nil
}

// engineLine is the JSON of an instance.
type engineLine struct {
	ID       string            `json:"id"`
	Service  string            `json:"service"`
	Address  string            `json:"address"`
	Zone     string            `json:"zone"`
	Slots    int               `json:"slots"`
	Draining bool              `json:"draining"`
	Versions map[string]uint64 `json:"versions"`
	// Behind names the models whose named version the engine does not have.
	Behind []string `json:"behind"`
}

func showEngines(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	engines, err := readEngines(ctx, client)
	if err != nil {
		return err
	}
	out := daemon.Table{Header: []string{"ID", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "STATE", "VERSIONS", "BEHIND"}}
	for _, e := range engines {
		state := "ready"
		if e.Draining {
			state = "draining"
		}
		out.Rows = append(out.Rows, []string{
			e.ID, e.Service, e.Address, e.Zone, fmt.Sprint(e.Slots), state, versionsText(e.Versions), strings.Join(e.Behind, ","),
		})
	}
	return write(cmd, out, engines)
}

func versionsText(versions map[string]uint64) string {
	var parts []string
	for model, version := range versions {
		parts = append(parts, fmt.Sprintf("%s=%d", model, version))
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

func readEngines(ctx context.Context, rows store.Rows) ([]engineLine, error) {
	_, named, err := readOperator(ctx, rows)
	if err != nil {
		return nil, err
	}
	s, err := rows.List(ctx, store.Range{Table: operator.TableInstances})
	if err != nil {
		return nil, trace.Wrap(err, "read the instances")
	}
	engines := []engineLine{}
	for _, row := range s.Rows {
		i, err := operator.DecodeInstance(row.Name, row.Value)
		if err != nil {
			return nil, err
		}
		line := engineLine{
			ID: i.ID, Service: i.Service, Address: i.Addr, Zone: i.Zone, Slots: i.Slots, Draining: i.Draining,
			Versions: i.Versions, Behind: []string{},
		}
		for model, version := range i.Versions {
			if version < named[model] {
				line.Behind = append(line.Behind, model)
			}
		}
		slices.Sort(line.Behind)
		engines = append(engines, line)
	}
	slices.SortFunc(engines, func(a, b engineLine) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Address, b.Address))
	})
	return engines, nil
}

// readOperator reads the configuration, nil if there is none, and the named versions.
func readOperator(ctx context.Context, rows store.Rows) (*fleet.Config, map[string]uint64, error) {
	s, err := rows.List(ctx, store.Range{Table: operator.TableOperator})
	if err != nil {
		return nil, nil, trace.Wrap(err, "read the configuration")
	}
	var config *fleet.Config
	named := map[string]uint64{}
	for _, row := range s.Rows {
		if operator.IsConfig(row.Name) {
			if config, err = operator.DecodeConfig(row.Value); err != nil {
				return nil, nil, err
			}
			continue
		}
		model, version, ok, err := operator.DecodeNamed(row.Name, row.Value)
		if err != nil {
			return nil, nil, err
		}
		if ok {
			named[model] = version
		}
	}
	return config, named, nil
}

// configResult is the JSON of the configuration.
type configResult struct {
	Version  uint64            `json:"version"`
	Routes   []routeLine       `json:"routes"`
	Versions map[string]uint64 `json:"weight_versions"`
}

type routeLine struct {
	Name     string   `json:"name"`
	Host     string   `json:"host"`
	Prefix   string   `json:"prefix"`
	Kind     string   `json:"kind"`
	Services []string `json:"services"`
	Timeout  string   `json:"timeout"`
}

func showConfig(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	config, named, err := readOperator(ctx, client)
	if err != nil {
		return err
	}
	if config == nil {
		return trace.NotFound("no configuration stands in the store yet")
	}
	result := configResult{Version: config.Version, Versions: named, Routes: []routeLine{}}
	out := daemon.Table{Header: []string{"ROUTE", "HOST", "PREFIX", "KIND", "SERVICES", "TIMEOUT"}}
	for _, r := range config.Routes {
		line := routeLine{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), Timeout: r.Timeout.String(), Services: []string{}}
		for _, b := range r.Backends {
			line.Services = append(line.Services, b.Service)
		}
		result.Routes = append(result.Routes, line)
		out.Rows = append(out.Rows, []string{line.Name, line.Host, line.Prefix, line.Kind, strings.Join(line.Services, ","), line.Timeout})
	}
	out.Rows = append(out.Rows, []string{fmt.Sprintf("configuration %d, weights %s", config.Version, versionsText(named))})
	return write(cmd, out, result)
}
