package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/internal/pipenet"
	"mulberryscale.example/platform/nodefile"
)

// eventGap is the time between two events of a stream.
const eventGap = 40 * time.Millisecond

// fakeEndpoint serves requests whose path ends with the time that they take. It records the
// requests that began to run there, with the times at which it was done or cut off.
type fakeEndpoint struct {
	mu   sync.Mutex
	runs map[string]endpointRun
}

type endpointRun struct {
	done bool
	end  time.Time
}

func (e *fakeEndpoint) record(id string, run endpointRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = run
}

func (e *fakeEndpoint) run(id string) (endpointRun, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.runs[id]
	return run, ok
}

func (e *fakeEndpoint) Send(ctx context.Context, _ fleet.Instance, r *forward.Request, _ time.Duration) (*forward.Answer, error) {
	e.record(r.ID, endpointRun{})
	took, err := time.ParseDuration(r.Target[strings.LastIndex(r.Target, "/")+1:])
	if err != nil {
		return nil, err
	}
	events := &slowEvents{ctx: ctx, endpoint: e, id: r.ID, end: time.Now().Add(took)}
	if r.Route.Kind == fleet.KindStream {
		return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, Stream: events}, nil
	}
	if !events.sleep(took) {
		return nil, forward.ErrBroken
	}
	e.record(r.ID, endpointRun{done: true, end: time.Now()})
	return &forward.Answer{Status: http.StatusOK, Header: http.Header{}, Body: []byte("x")}, nil
}

// slowEvents is a stream of events, one each eventGap, up to a time.
type slowEvents struct {
	ctx      context.Context
	endpoint *fakeEndpoint
	id       string
	end      time.Time
	last     int
}

func (s *slowEvents) Close() {}

// sleep waits for d; it returns false if the run is cut off meanwhile.
func (s *slowEvents) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		s.endpoint.record(s.id, endpointRun{end: time.Now()})
		return false
	}
}

func (s *slowEvents) Next() ([]byte, string, error) {
	if time.Until(s.end) <= 0 {
		s.endpoint.record(s.id, endpointRun{done: true, end: time.Now()})
		return nil, "", io.EOF
	}
	if !s.sleep(min(eventGap, time.Until(s.end))) {
		return nil, "", forward.ErrBroken
	}
	s.last++
	id := fmt.Sprint(s.last)
	return []byte("id: " + id + "\ndata: x\n\n"), id, nil
}

// drainRig is an entry that is stopped while clients use kept connections.
type drainRig struct {
	t        *testing.T
	entry    *Entry
	endpoint *fakeEndpoint
	listener *pipenet.Listener
	signal   time.Time
	grace    time.Duration
}

const routeTimeout = 10 * time.Second

// signalDelay is the time that an entry takes to notice the signal to stop.
const signalDelay = 50 * time.Millisecond

// graceTimes are the grace times that drains are tried with.
var graceTimes = []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second}

// drainConfig is a configuration with a route of each kind to one service.
func drainConfig() *fleet.Config {
	config := &fleet.Config{Version: 1, Services: []fleet.Service{{Name: "s"}}}
	for path, kind := range map[string]fleet.Kind{"safe": fleet.KindSafe, "unsafe": fleet.KindUnsafe, "stream": fleet.KindStream} {
		config.Routes = append(config.Routes, fleet.Route{
			Name: path, Host: "h.example", Prefix: "/" + path + "/", Kind: kind, Backends: []fleet.Backend{{Service: "s", Weight: 1}},
			Timeout: routeTimeout, Objective: routeTimeout, MaxAttempts: 2,
		})
	}
	config.Index()
	return config
}

// inDrainRig runs a test in a bubble with an entry that gets the signal to stop after a second.
func inDrainRig(t *testing.T, grace time.Duration, test func(r *drainRig)) {
	synctest.Test(t, func(t *testing.T) {
		entry, err := NewEntry(&nodefile.Settings{Node: "n", Zone: "z", RowBytes: 4096, Grace: grace}, Options{LogLevel: "error"})
		if err != nil {
			t.Fatal(err)
		}
		entry.view.SetConfig(drainConfig())
		entry.view.UpdateInstances([]fleet.Instance{{ID: "e", Service: "s", Addr: "10.0.0.1:1", Slots: 100}}, nil)
		r := &drainRig{t: t, entry: entry, endpoint: &fakeEndpoint{runs: map[string]endpointRun{}}, listener: pipenet.Listen(), grace: grace}
		entry.forwarder.Sender = r.endpoint
		server := entry.clientServer()
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(r.listener) }) // ends with the server
		r.signal = time.Now().Add(time.Second)
		serving.Go(func() {
			time.Sleep(time.Until(r.signal.Add(signalDelay)))
			entry.drain(server)
			if took := time.Since(r.signal); took >= grace {
				t.Errorf("drained after %s of %s", took, grace)
			}
			server.Close()
		})
		test(r)
		serving.Wait()
		entry.bounded.Close()
	})
}

// keptConn is a client's connection that is kept for several requests.
type keptConn struct {
	r    *drainRig
	conn net.Conn
	in   *bufio.Reader
}

func (r *drainRig) dial() *keptConn {
	r.t.Helper()
	conn, err := r.listener.Dial(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return &keptConn{r: r, conn: conn, in: bufio.NewReader(conn)}
}

// callResult is what a client sees of its request.
type callResult struct {
	resp *http.Response
	err  error // no complete answer
	// begun and sent are when its head was sent, and when its last byte was.
	begun, sent time.Time
}

func (c *keptConn) call(id, path string, deadline time.Duration) callResult {
	result := callResult{begun: time.Now(), sent: time.Now()}
	result.err = c.sendHead(id, path, deadline, 0)
	c.readAnswer(&result)
	return result
}

// callSlowly sends the head of a request at once, and its body at a given time.
func (c *keptConn) callSlowly(id, path string, whole time.Time) callResult {
	const body = "body"
	result := callResult{begun: time.Now()}
	result.err = c.sendHead(id, path, routeTimeout, len(body))
	time.Sleep(time.Until(whole))
	result.sent = time.Now()
	if result.err == nil {
		_, result.err = io.WriteString(c.conn, body)
	}
	c.readAnswer(&result)
	return result
}

func (c *keptConn) sendHead(id, path string, deadline time.Duration, length int) error {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, deadline.Milliseconds(), length)
	return err
}

// readAnswer reads the answer to a request that was sent without an error.
func (c *keptConn) readAnswer(result *callResult) {
	if result.err == nil {
		result.resp, result.err = http.ReadResponse(c.in, nil)
	}
	if result.err == nil {
		_, result.err = io.ReadAll(result.resp.Body)
	}
}

// judge fails the test if a client may complain about a call: it was passed on and got no complete
// answer without an excuse, or was refused as not run and ran.
func (r *drainRig) judge(id string, result callResult, limit time.Duration) {
	r.t.Helper()
	const excusedTime = 3 * time.Second // after the signal
	run, ran := r.endpoint.run(id)
	sent := result.sent.Sub(r.signal)
	if result.err == nil {
		if result.resp.StatusCode == http.StatusServiceUnavailable && ran {
			r.t.Errorf("grace %s, %s sent %s after the signal: refused, and ran", r.grace, id, sent)
		}
		if sent > signalDelay && !result.resp.Close {
			r.t.Errorf("grace %s, %s sent %s after the signal: the client isn't told to leave", r.grace, id, sent)
		}
		return
	}
	timedOut := time.Since(result.begun) >= limit-100*time.Millisecond
	excused := sent <= excusedTime && !run.done && run.end.Sub(r.signal) >= r.grace*5/6
	if ran && !timedOut && !excused {
		r.t.Errorf("grace %s, %s sent %s after the signal, cut off after %s (the endpoint was done: %t): %v",
			r.grace, id, sent, time.Since(result.sent), run.done, result.err)
	}
}

// Guards against streams that an entry accepts after the signal to stop and cuts off before the
// end of the grace time, for any grace time and whenever they come.
func TestStreamsThatComeInADrainAreNotCutOff(t *testing.T) {
	for _, grace := range graceTimes {
		t.Run(grace.String(), func(t *testing.T) { inDrainRig(t, grace, sendStreamsThroughDrain) })
	}
}

// sendStreamsThroughDrain sends streams of four seconds each 50 ms, on kept connections.
func sendStreamsThroughDrain(r *drainRig) {
	var clients sync.WaitGroup
	for at := -480 * time.Millisecond; at < 4*time.Second; at += 50 * time.Millisecond {
		c := r.dial()
		clients.Go(func() {
			defer c.conn.Close()
			c.call("before", "/stream/20ms", time.Second)
			time.Sleep(time.Until(r.signal.Add(at)))
			id := fmt.Sprint("stream-", at)
			r.judge(id, c.call(id, "/stream/4s", 8*time.Second), 8*time.Second)
		})
	}
	clients.Wait()
}

// Guards against cut requests of any kind and length: random ones on kept connections through a
// whole drain.
func TestRequestsThroughADrain(t *testing.T) {
	const plays = 12
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inDrainRig(t, graceTimes[seed%4], func(r *drainRig) { sendRandomRequests(r, seed) })
		})
	}
}

// sendRandomRequests lets clients with a kept connection each send requests until they are told to
// leave or the grace time is over.
func sendRandomRequests(r *drainRig, seed uint64) {
	const clientCount = 40
	kinds := []string{"safe", "unsafe", "stream"}
	lengths := []string{"10ms", "300ms", "2s", "4s", "6s", "9s"}
	var clients sync.WaitGroup
	for n := range clientCount {
		c, rng := r.dial(), rand.New(rand.NewPCG(seed, uint64(n)))
		clients.Go(func() {
			defer c.conn.Close()
			for i := 0; time.Since(r.signal) < r.grace; i++ {
				time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
				limit := time.Duration(100+rng.IntN(9900)) * time.Millisecond
				kind, length := kinds[rng.IntN(len(kinds))], lengths[rng.IntN(len(lengths))]
				id := fmt.Sprintf("%s of %s, %d of client %d", kind, length, i, n)
				result := c.call(id, "/"+kind+"/"+length, limit)
				r.judge(id, result, limit)
				if result.err != nil || result.resp.Close {
					return
				}
			}
		})
	}
	clients.Wait()
}

// Guards against an entry that turns short requests away in its drain because their clients would
// wait for long.
func TestShortRequestsAreServedThroughADrain(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		inDrainRig(t, 8*time.Second, func(r *drainRig) {
			c := r.dial()
			c.call("before", "/"+kind+"/50ms", routeTimeout)
			time.Sleep(time.Until(r.signal.Add(2500 * time.Millisecond)))
			if result := c.call("in the drain", "/"+kind+"/50ms", routeTimeout); result.err != nil || result.resp.StatusCode != http.StatusOK {
				t.Errorf("%s: got %v, %v", kind, result.resp, result.err)
			}
			c.conn.Close()
		})
	}
}

// Guards against a request whose head comes before the signal to stop, and the end of whose body comes late in the drain:
// one that is read whole is answered, or cut off for the reasons that excuse any other.
func TestBodiesThatEndInADrain(t *testing.T) {
	for _, grace := range graceTimes {
		t.Run(grace.String(), func(t *testing.T) { inDrainRig(t, grace, sendSlowBodiesThroughDrain) })
	}
}

// sendSlowBodiesThroughDrain sends requests of all kinds whose bodies end at times all over the drain.
func sendSlowBodiesThroughDrain(r *drainRig) {
	var clients sync.WaitGroup
	for _, kind := range []string{"safe", "unsafe", "stream"} {
		for _, length := range []string{"10ms", "2s", "6s"} {
			for at := -300 * time.Millisecond; at < r.grace; at += r.grace / 16 {
				c := r.dial()
				clients.Go(func() {
					defer c.conn.Close()
					id := fmt.Sprintf("%s of %s, whole at %s", kind, length, at)
					r.judge(id, c.callSlowly(id, "/"+kind+"/"+length, r.signal.Add(at)), routeTimeout)
				})
			}
		}
	}
	clients.Wait()
}

// Guards against an entry that begins to listen for clients after the signal to stop, which came
// during its start.
func TestEntryStoppedDuringItsStartServesNobody(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	settings := &nodefile.Settings{Node: "n", Zone: "z", RowBytes: 4096, Grace: 8 * time.Second, Ready: "127.0.0.1:0", Clients: taken.Addr().String(), Store: "127.0.0.1:1"}
	entry, err := NewEntry(settings, Options{LogLevel: "panic"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := entry.Run(ctx); err != nil {
		t.Errorf("listened for clients: %v", err)
	}
}
