package e2e

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"mulberryscale.example/platform/ingress"
	"mulberryscale.example/store"
)

const (
	// soakAttemptTimeout is the deadline of one attempt of a caller.
	soakAttemptTimeout = 3 * time.Second
	// soakCallInterval is the pause between two calls of a caller.
	soakCallInterval = 30 * time.Millisecond
)

// soakClient makes requests over its own keep-alive connections.
type soakClient struct {
	w    *soakWorld
	name string
	rng  *rand.Rand
	http *http.Client
	next int
	// organisation is the one whose key the client sends. It claims to belong to the other one.
	organisation string
}

func (w *soakWorld) client(name string) *soakClient {
	return &soakClient{
		w: w, name: name, rng: rand.New(rand.NewPCG(w.seed, hashOf(name))),
		http:         &http.Client{Transport: &http.Transport{DisableCompression: true}},
		organisation: soakOrganisations[hashOf(name)%uint64(len(soakOrganisations))],
	}
}

// entry returns the address of a randomly chosen entry.
func (c *soakClient) entry() string { return c.w.entries[c.rng.IntN(len(c.w.entries))].clientAddr }

// do makes one attempt at an entry, with the client's own key unless a has one.
func (c *soakClient) do(ctx context.Context, a ingress.Attempt) (*http.Response, error) {
	a.Host, a.Deadline = soakHost, cmp.Or(a.Deadline, soakAttemptTimeout)
	if a.Key == "" {
		a.Key, a.ClaimedOrganisation = permanentKey(c.organisation), otherOrganisation(c.organisation)
	}
	req, err := a.Request(ctx)
	if err != nil {
		return nil, err
	}
	return c.http.Do(req)
}

// call makes one attempt and returns the status and the body of the response. The status is
// 0 if there was no complete response.
func (c *soakClient) call(ctx context.Context, a ingress.Attempt) (status int, body []byte) {
	return c.callWithin(ctx, soakAttemptTimeout, a)
}

// callWithin is call with a timeout.
func (c *soakClient) callWithin(ctx context.Context, timeout time.Duration, a ingress.Attempt) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// write writes a row as the operator or a trainer does. It waits until the store is available.
func (w *soakWorld) write(ctx context.Context, row store.Row, err error) {
	for w.store.unavailable() && ctx.Err() == nil {
		sleep(ctx, soakCallInterval)
	}
	w.store.put(row, err)
}
