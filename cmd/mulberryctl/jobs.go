package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/batch"
	"mulberryscale.example/daemon"
	"mulberryscale.example/store"
)

// jobLine is the JSON of a batch job.
type jobLine struct {
	ID           string  `json:"id"` // the client's id of the job
	Organisation string  `json:"organisation,omitempty"`
	Route        string  `json:"route"`
	Model        string  `json:"model"`
	Step         int     `json:"step"`
	MinVersion   uint64  `json:"min_version"`
	AgeSeconds   float64 `json:"age_seconds"`
	Items        int     `json:"items"`
	Listed       int     `json:"listed"`
	Failed       int     `json:"failed"`
	State        string  `json:"state"`
	Owners       int     `json:"owners"`
}

// States of a job, in display order: not all items have results, all items have
// results, the client has ended the job.
const (
	jobOpen     = "open"
	jobFinished = "finished"
	jobEnded    = "ended"
)

var jobStateOrder = []string{jobOpen, jobFinished, jobEnded}

func showJobs(ctx context.Context, cmd *cli.Command) error {
	client, err := openMetastore(cmd)
	if err != nil {
		return err
	}
	jobs, err := readJobs(ctx, client, cmd.Bool(flagAll))
	if err != nil {
		return err
	}
	out := daemon.Table{Header: []string{"ID", "ORGANISATION", "ROUTE", "MODEL", "STEP", "MIN VERSION", "AGE", "LISTED", "FAILED", "STATE", "OWNERS"}}
	for _, j := range jobs {
		out.Rows = append(out.Rows, []string{
			j.ID, cmp.Or(j.Organisation, "-"), j.Route, j.Model, fmt.Sprint(j.Step), fmt.Sprint(j.MinVersion), fmt.Sprintf("%.1fs", j.AgeSeconds),
			fmt.Sprintf("%d/%d", j.Listed, j.Items), fmt.Sprint(j.Failed), j.State, fmt.Sprint(j.Owners),
		})
	}
	return write(cmd, out, jobs)
}

// readJobs reads the jobs and counts their results. It includes ended jobs if all is true.
func readJobs(ctx context.Context, rows store.Store, all bool) ([]jobLine, error) {
	ledger := &batch.Ledger{Store: rows}
	s, err := rows.List(ctx, store.Range{Table: batch.TableJobs})
	if err != nil {
		return nil, trace.Wrap(err, "read the jobs")
	}
	ended := map[string]bool{}
	for _, row := range s.Rows {
		if id, end := batch.ParseJobRowName(row.Name); end {
			ended[id] = true
		}
	}
	jobs := []jobLine{}
	for _, row := range s.Rows {
		if _, end := batch.ParseJobRowName(row.Name); end {
			continue
		}
		job, err := batch.DecodeJob(row.Value)
		if err != nil {
			return nil, trace.Wrap(err, "job %s", row.Name)
		}
		if ended[job.ID] && !all {
			continue
		}
		line, err := countResults(ctx, ledger, job, s.Now, ended[job.ID])
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, line)
	}
	slices.SortFunc(jobs, func(a, b jobLine) int {
		return cmp.Or(cmp.Compare(slices.Index(jobStateOrder, a.State), slices.Index(jobStateOrder, b.State)), cmp.Compare(a.AgeSeconds, b.AgeSeconds))
	})
	return jobs, nil
}

func countResults(ctx context.Context, ledger *batch.Ledger, job *batch.Job, now time.Duration, ended bool) (jobLine, error) {
	listing, err := ledger.Results(ctx, job.ID)
	if err != nil {
		return jobLine{}, trace.Wrap(err, "read the results of job %s", job.ID)
	}
	line := jobLine{
		ID: batch.ClientID(job.ID), Organisation: job.Organisation, Route: job.Route, Model: job.Model, Step: job.Step, MinVersion: job.MinVersion,
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
