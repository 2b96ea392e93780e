package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// item is an item of a batch job as a client sends it.
type item struct {
	Id, Path string
	Headers  map[string]string
	Body     []byte
	Tokens   int
	Group    string      `json:",omitempty"`
	Scorer   *scorerCall `json:",omitempty"`
}

type scorerCall struct {
	Id, Host, Path string
	Body           []byte
}

// job is a batch job as a client sends it.
type job struct {
	id     string
	prefix string

	Step       int    `json:",omitempty"`
	Model      string `json:",omitempty"`
	MinVersion uint64 `json:",omitempty"`
	GroupCount int    `json:",omitempty"`
	Requests   []item
}

type result struct {
	Id, State, Output string
	Versions          []uint64
	Score             string
}

type resultPage struct {
	Total, Next int
	Results     []result
}

// newItem returns an item of a job.
func newItem(prefix, id, model, group string) item {
	return item{
		Id: id, Path: prefix + id, Body: []byte("prompt of " + id), Tokens: 400, Group: group,
		Headers: map[string]string{"X-Model": model, "X-Token-Usage": "300,100", "X-Prompt-Prefix": id + ":300"},
	}
}

// submit sends a job until it is accepted, at one entry after the other.
func (w *world) submit(j *job, entries ...*machine) {
	body, err := json.Marshal(j)
	must(err)
	for try := range 40 {
		entry := entries[try%len(entries)]
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status, _, _, err := w.call(ctx, entry, http.MethodPost, j.prefix+j.id, j.id, map[string]string{"X-Deadline-Ms": "3000", "Content-Type": "application/json"}, body)
		cancel()
		w.note("job %s with %d items (%d bytes) sent to %s: status %d, %v", j.id, len(j.Requests), len(body), entry.name, status, err)
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fail(fmt.Errorf("job %s was not accepted", j.id))
}

// read reads a job's results until done says so or the time is over, and returns them by item.
func (w *world) read(j *job, limit time.Duration, done func(map[string]result) bool, entries ...*machine) map[string]result {
	found := map[string]result{}
	next := 0
	end := time.Now().Add(limit)
	for try := 0; time.Now().Before(end); try++ {
		entry := entries[try%len(entries)]
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		status, _, data, err := w.call(ctx, entry, http.MethodGet, fmt.Sprintf("/lots/%s?After=%d", j.id, next), "", map[string]string{"X-Wait-Ms": "1000"}, nil)
		cancel()
		var p resultPage
		if err == nil && status == http.StatusOK && json.Unmarshal(data, &p) == nil {
			for i, r := range p.Results {
				found[r.Id] = r
				if w.brief {
					continue
				}
				w.note("read of %s: position %d is %s, %s, %d bytes, versions %v, score %q", j.id, next+i, r.Id, r.State, len(r.Output), r.Versions, r.Score)
			}
			next = p.Next
		} else {
			w.note("read of %s from %d at %s: status %d, %v", j.id, next, entry.name, status, err)
		}
		if done(found) {
			return found
		}
		time.Sleep(300 * time.Millisecond)
	}
	return found
}

// end ends a job.
func (w *world) end(j *job, entry *machine) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	status, _, _, err := w.call(ctx, entry, http.MethodDelete, "/lots/"+j.id, "", nil, nil)
	w.note("end of %s: status %d, %v", j.id, status, err)
}
