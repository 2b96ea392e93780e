package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulberryscale.example/store"
)

// Sizes of the callers' work.
const (
	soakGroups     = 6 // of a batch job
	soakWanted     = 5 // groups that the trainer waits for
	soakGroupItems = 4
	// soakDeadline is how long callers wait for one attempt.
	soakDeadline = 3 * time.Second
	// soakStepTime is how long a trainer waits for a step, soakSubmitTime for
	// its acceptance.
	soakStepTime   = 15 * time.Second
	soakSubmitTime = 10 * time.Second
	// soakSettle is after how long each node must know an accepted job.
	soakSettle = time.Second
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
}

func (w *soakWorld) client(name string) *soakClient {
	return &soakClient{
		w: w, name: name, rng: rand.New(rand.NewPCG(w.seed, hashOf(name))),
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
}

// entry picks one of the entries.
func (c *soakClient) entry() string { return c.w.entries[c.rng.IntN(len(c.w.entries))].front }

// do makes one attempt at an entry.
func (c *soakClient) do(ctx context.Context, entry, id, host, method, target, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method != http.MethodGet {
		req.GetBody = nil // an attempt is sent once
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.http.Do(req)
}

// look makes requests of all forwarded kinds until ctx ends.
func (c *soakClient) look(ctx context.Context) {
	for ctx.Err() == nil {
		c.next++
		id := fmt.Sprintf("%s-%d", c.name, c.next)
		switch c.rng.IntN(5) {
		case 0:
			c.forward(ctx, c.entry(), id, http.MethodPost, "/book/"+id, true)
		case 1:
			c.stream(ctx, c.entry(), id, "/tell/"+id, false)
		case 2:
			c.stream(ctx, c.entry(), id, "/say/"+id, true)
		default:
			c.forward(ctx, c.entry(), id, http.MethodGet, "/look/"+id, false)
		}
		sleep(ctx, soakPause)
	}
}

// forward makes one request whose answer is a whole, and says whether it was served.
func (c *soakClient) forward(ctx context.Context, entry, id, method, target string, once bool) bool {
	body := ""
	if method == http.MethodPost {
		body = "body of " + id
	}
	c.w.record.send(id, &request{method: method, target: target, body: body, services: c.w.allowed(target), once: once})
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, entry, id, soakHost, method, target, body, nil)
	if err != nil {
		return c.lost(id, err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.lost(id, err)
	}
	if !c.checkHead(id, entry, resp) {
		return false
	}
	if string(got) != answerOf(id, body) {
		c.w.record.problem("request %s at %s: answered %q", id, entry, got)
	}
	c.w.record.count("served")
	return true
}

func (c *soakClient) lost(id string, err error) bool {
	c.w.record.count("unanswered")
	c.w.note("request %s: %v", id, err)
	return false
}

// checkHead checks the status and the headers of an answer, and says whether
// it is a success.
func (c *soakClient) checkHead(id, entry string, resp *http.Response) bool {
	stamp := resp.Header.Get("X-Server-Stamp")
	instance, _, _ := strings.Cut(stamp, "/")
	switch {
	case resp.StatusCode == http.StatusOK && (stamp != stampOf(instance, id) || resp.Header.Get("X-Request-Id") != id):
		c.w.record.problem("request %s at %s: 200 with stamp %q and id %q", id, entry, stamp, resp.Header.Get("X-Request-Id"))
		return false
	case resp.StatusCode == http.StatusOK:
		return true
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.w.record.refuse(id)
		if resp.Header.Get("Retry-After") == "" {
			c.w.record.problem("request %s at %s: %s without Retry-After", id, entry, resp.Status)
		}
	case resp.StatusCode < http.StatusInternalServerError:
		c.w.record.problem("request %s at %s: %s", id, entry, resp.Status)
	}
	c.w.record.count(strconv.Itoa(resp.StatusCode))
	return false
}

// stream reads a stream, of a route that may be resumed or of one whose
// requests run once only.
func (c *soakClient) stream(ctx context.Context, entry, id, target string, once bool) {
	body := "body of " + id
	c.w.record.send(id, &request{method: http.MethodPost, target: target, body: body, model: soakModels[0], services: []string{serviceEngines}, once: once})
	ctx, cancel := context.WithTimeout(ctx, 2*soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, entry, id, soakHost, http.MethodPost, target, body, map[string]string{"X-Model": soakModels[0]})
	if err != nil {
		c.lost(id, err)
		return
	}
	defer resp.Body.Close()
	if !c.checkHead(id, entry, resp) {
		return
	}
	n, err := readEvents(resp.Body, id)
	var bad *wrongEventError
	switch {
	case errors.As(err, &bad):
		c.w.record.problem("request %s at %s: %v", id, entry, err)
	case err != nil:
		c.lost(id, err)
	case n != eventsOf(id):
		c.w.record.problem("request %s at %s: ended after event %d of %d", id, entry, n, eventsOf(id))
	default:
		c.w.record.count("streamed")
	}
}

// wrongEventError says that an event is not the one that is due.
type wrongEventError struct {
	n    int
	line string
}

func (e *wrongEventError) Error() string { return fmt.Sprintf("after event %d: line %q", e.n, e.line) }

// readEvents reads a stream to its end and returns how many events it had.
func readEvents(body io.Reader, id string) (int, error) {
	lines := bufio.NewReader(body)
	n := 0
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "" || strings.HasPrefix(line, "x-weight-versions: "):
		case line == fmt.Sprintf("id: %d", n+1):
			n++
		case line == "data: "+eventOf(id, n):
		default:
			return n, &wrongEventError{n, line}
		}
	}
}

// soakTrainer takes steps with one model until ctx ends.
type soakTrainer struct {
	*soakClient
	model string
	// again holds the items, by group, that were not complete in the last step.
	again [][]string
}

func (t *soakTrainer) run(ctx context.Context) {
	for step := 0; ctx.Err() == nil; step++ {
		version := uint64(step + 1)
		if step > 0 {
			t.w.record.name(t.model, version)
			t.w.write(ctx, "op", "version/"+t.model, map[string]any{"Model": t.model, "Version": version})
		}
		t.step(ctx, step, max(1, version-1))
	}
}

// step submits a job, reads it, and ends it.
func (t *soakTrainer) step(ctx context.Context, step int, minVersion uint64) {
	j := &soakJob{id: fmt.Sprintf("job-%s-%d", t.model, step), host: soakHost, minVersion: minVersion}
	groups := t.again
	for g := len(groups); g < soakGroups; g++ {
		var items []string
		for i := range soakGroupItems {
			items = append(items, fmt.Sprintf("item-%s-%d-%d-%d", t.model, step, g, i))
		}
		groups = append(groups, items)
	}
	fresh := groups[len(t.again):]
	t.again = nil
	body := t.body(j, step, groups)
	t.w.record.addJob(j)
	if !t.submit(ctx, j, body, fresh) {
		return
	}
	t.read(ctx, j, groups)
	t.end(j)
	for _, group := range groups {
		if !t.complete(j, group) && len(t.again) < soakWanted/2 {
			t.again = append(t.again, group)
		}
	}
}

// body encodes a job and registers its items.
func (t *soakTrainer) body(j *soakJob, step int, groups [][]string) string {
	var requests []map[string]any
	for _, group := range groups {
		for _, id := range group {
			j.items = append(j.items, id)
			t.w.record.send(id, &request{
				method: http.MethodPost, target: "/" + t.model + "/" + id, body: "body of " + id, model: t.model,
				services: []string{serviceEngines},
			})
			requests = append(requests, map[string]any{
				"Id": id, "Path": "/" + t.model + "/" + id, "Group": group[0], "Tokens": 100,
				"Headers": map[string]string{"X-Model": t.model, "X-Token-Usage": "50,50", "X-Length-Hint": strconv.Itoa(eventsOf(id))},
				"Body":    base64.StdEncoding.EncodeToString([]byte("body of " + id)),
			})
		}
	}
	return string(marshal(map[string]any{
		"Step": step, "Model": t.model, "MinVersion": j.minVersion, "GroupCount": soakWanted, "Requests": requests,
	}))
}

// submit repeats until the job is accepted, and says whether it was.
func (t *soakTrainer) submit(ctx context.Context, j *soakJob, body string, fresh [][]string) bool {
	began, refusedOnly := time.Now(), true
	for time.Since(began) < soakSubmitTime && ctx.Err() == nil {
		status := t.call(ctx, j.id, http.MethodPost, "/"+t.model+"/"+j.id, body, nil, nil)
		switch status {
		case http.StatusAccepted:
			t.w.record.accept(j)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case http.StatusBadRequest, http.StatusNotFound:
			t.w.record.problem("job %s: submission answered %d", j.id, status)
			return false
		default:
			refusedOnly = false
		}
		sleep(ctx, 10*soakPause)
	}
	if refusedOnly && ctx.Err() == nil {
		for _, group := range fresh {
			t.w.record.refuse(group...)
		}
	}
	return false
}

// call makes a call about a job at some entry and returns its status, 0 for
// none, after decoding the body of a 200 into out.
func (c *soakClient) call(ctx context.Context, id, method, target, body string, header map[string]string, out any) int {
	return c.callAt(ctx, c.entry(), id, method, target, body, header, out)
}

func (c *soakClient) callAt(ctx context.Context, entry, id, method, target, body string, header map[string]string, out any) int {
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, entry, id, soakHost, method, target, body, header)
	if err != nil {
		c.w.note("%s %s at %s: %v", method, target, entry, err)
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.w.note("%s %s at %s: %v", method, target, entry, err)
		return 0
	}
	if resp.StatusCode == http.StatusOK && out != nil {
		if err := json.Unmarshal(data, out); err != nil {
			c.w.record.problem("%s %s at %s: %v in %q", method, target, entry, err, data)
			return 0
		}
	}
	return resp.StatusCode
}

// page reads results of a job from a position on at an entry.
func (c *soakClient) page(ctx context.Context, entry string, j *soakJob, after int) (status, next, total int) {
	var page struct {
		Total, Next int
		Results     []soakResult
	}
	asked := time.Now()
	target := fmt.Sprintf("/lots/%s?After=%d", j.id, after)
	status = c.callAt(ctx, entry, j.id, http.MethodGet, target, "", map[string]string{"X-Wait-Ms": "500"}, &page)
	if status == http.StatusOK {
		if page.Next != after+len(page.Results) {
			c.w.record.problem("job %s at %s: Next is %d after %d results at %d", j.id, entry, page.Next, len(page.Results), after)
		}
		c.w.record.read(j, entry, after, page.Total, page.Results)
		return status, page.Next, page.Total
	}
	accepted, _ := c.w.record.state(j)
	if status == http.StatusNotFound || status == http.StatusGone {
		if !accepted.IsZero() && asked.Sub(accepted) > soakSettle {
			c.w.record.problem("job %s at %s: %d, %s after its 202", j.id, entry, status, asked.Sub(accepted))
		}
	}
	return status, after, 0
}

// read reads a job until enough groups are complete or the step's time is up.
func (t *soakTrainer) read(ctx context.Context, j *soakJob, groups [][]string) {
	ctx, cancel := context.WithTimeout(ctx, soakStepTime)
	defer cancel()
	for ctx.Err() == nil {
		t.page(ctx, t.entry(), j, t.w.record.position(j))
		complete := 0
		for _, group := range groups {
			if t.complete(j, group) {
				complete++
			}
		}
		if complete >= soakWanted {
			t.w.record.count("steps")
			return
		}
		sleep(ctx, soakPause)
	}
}

func (t *soakTrainer) complete(j *soakJob, group []string) bool {
	for _, id := range group {
		if !t.w.record.isListed(j, id) {
			return false
		}
	}
	return true
}

// end ends a job; the end counts from when it is first sent.
func (t *soakTrainer) end(j *soakJob) {
	t.w.record.end(j)
	began := time.Now()
	for time.Since(began) < soakSubmitTime {
		switch status := t.call(context.Background(), j.id, http.MethodDelete, "/lots/"+j.id, "", nil, nil); status {
		case http.StatusOK:
			return
		case http.StatusNotFound:
			t.w.record.problem("job %s: its end was answered 404", j.id)
			return
		}
		time.Sleep(10 * soakPause)
	}
}

// reread reads old results and bodies until ctx ends.
func (c *soakClient) reread(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 3*soakPause)
		jobs := c.w.record.acceptedJobs()
		if len(jobs) == 0 {
			continue
		}
		j := jobs[c.rng.IntN(len(jobs))]
		c.page(ctx, c.entry(), j, c.rng.IntN(c.w.record.position(j)+1))
		c.itemBody(ctx, j, j.items[c.rng.IntN(len(j.items))])
	}
}

// itemBody asks for the body of an item.
func (c *soakClient) itemBody(ctx context.Context, j *soakJob, item string) {
	entry, asked := c.entry(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, soakDeadline)
	defer cancel()
	resp, err := c.do(ctx, entry, j.id, soakHost, http.MethodGet, "/items/"+j.id+"?Id="+item, "", nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	accepted, ended := c.w.record.state(j)
	switch {
	case resp.StatusCode == http.StatusOK && !bytes.Equal(data, []byte("body of "+item)):
		c.w.record.problem("job %s at %s: the body of %s is %q", j.id, entry, item, data)
	case resp.StatusCode == http.StatusNotFound && !ended && asked.Sub(accepted) > soakSettle:
		// The item may have been listed without having been read here.
		c.page(ctx, entry, j, c.w.record.position(j))
		if !c.w.record.isListed(j, item) {
			c.w.note("job %s at %s: no body of %s, which was not read yet", j.id, entry, item)
		}
	}
}

// write writes a row as the operator or a trainer does, once the store serves.
func (w *soakWorld) write(ctx context.Context, table, name string, value any) {
	for w.store.away() && ctx.Err() == nil {
		sleep(ctx, soakPause)
	}
	w.store.rows.Put(store.Row{Key: store.Key{Table: table, Name: name}, Value: marshal(value)})
}
