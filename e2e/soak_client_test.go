package e2e

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/store"
)

const (
	// soakDeadline is how long callers wait for one attempt.
	soakDeadline = 3 * time.Second
	// soakPause is between two calls of a caller.
	soakPause = 30 * time.Millisecond
)

// soakClient makes requests with connections of its own, which it keeps open.
type soakClient struct {
	w    *soakWorld
	name string
	rng  *rand.Rand
	http *http.Client
	next int
	// organisation is whose key it shows; it claims to be of the other one.
	organisation string
}

func (w *soakWorld) client(name string) *soakClient {
	return &soakClient{
		w: w, name: name, rng: rand.New(rand.NewPCG(w.seed, hashOf(name))),
		http:         &http.Client{Transport: &http.Transport{DisableCompression: true}},
		organisation: soakOrganisations[hashOf(name)%uint64(len(soakOrganisations))],
	}
}

// entry picks one of the entries.
func (c *soakClient) entry() string { return c.w.entries[c.rng.IntN(len(c.w.entries))].front }

// do makes one attempt at an entry.
func (c *soakClient) do(ctx context.Context, a ingress.Attempt) (*http.Response, error) {
	a.Host, a.Deadline = soakHost, soakDeadline
	if a.Key == "" {
		a.Key, a.ClaimedOrganisation = keptKey(c.organisation), otherThan(c.organisation)
	}
	req, err := a.Request(ctx)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// call makes one attempt and returns its status, 0 for none, and its body.
func (c *soakClient) call(ctx context.Context, a ingress.Attempt) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, a)
	if err != nil {
		c.w.note("%s %s at %s: %v", a.Method, a.Target, a.Entry, err)
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		c.w.note("%s %s at %s: %v", a.Method, a.Target, a.Entry, err)
		return 0, nil
	}
	return resp.StatusCode, body
}

// write writes a row as the operator or a trainer does, once the store serves.
func (w *soakWorld) write(ctx context.Context, row store.Row, err error) {
	for w.store.away() && ctx.Err() == nil {
		sleep(ctx, soakPause)
	}
	w.store.put(row, err)
}
