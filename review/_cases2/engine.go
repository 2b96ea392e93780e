package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/platform/operator"
)

// Timing of an engine, like that of the users' deployments.
const (
	heartbeat  = 1200 * time.Millisecond // HeartbeatMs
	loadTime   = 900 * time.Millisecond  // a change of version
	eventEvery = 30 * time.Millisecond   // between two events of a text
)

// engine stands in for an endpoint: a model engine if it has models, else a plain service. It
// speaks PROTOCOL.md over plain connections, so that a case can say exactly which bytes go out.
type engine struct {
	w       *world
	id      string
	service string
	addr    string
	slots   int
	model   string // empty for a plain service
	born    int64
	// plan says what a run of a request does.
	plan func(e *engine, r run) outcome

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	version  uint64
	named    uint64
	busy     bool
	sequence uint64
	running  int
	draining bool
	silent   bool // sends no heartbeats any more
	beats    uint64
	runs     map[string]int // runs begun, by id
}

// run is one request that the engine begins to work on.
type run struct {
	id     string
	target string
	nth    int // 1 for the first run of this id at any engine
	after  int // Last-Event-Id
}

// outcome says how a run is answered.
type outcome struct {
	status int
	events int           // of a text
	body   string        // of an answer without events
	takes  time.Duration // before an answer without events
	// copyLater sends the answer once more where the next answer on the connection is expected.
	copyLater bool
}

func (e *engine) start() {
	l, err := net.Listen("tcp", e.addr)
	must(err)
	e.listener, e.conns, e.runs = l, map[net.Conn]bool{}, map[string]int{}
	e.born, e.version, e.named = time.Now().UnixMilli(), 1, 1
	go e.beat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
}

func (e *engine) beat() {
	for {
		e.register()
		time.Sleep(heartbeat)
	}
}

// register writes the engine's row, unless it has ended.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.beats++
	i := fleet.Instance{
		ID: e.id, Service: e.service, Addr: e.addr, Zone: zoneName, Slots: e.slots, Draining: e.draining, StartedAt: e.born,
		Versions: map[string]uint64{},
	}
	if e.model != "" {
		i.Versions[e.model] = e.version
	}
	row, err := operator.InstanceRow(i, e.beats)
	must(err)
	e.w.rows.Put(row)
}

// leave drains the engine, removes its row after drain and ends it.
func (e *engine) leave(drain time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register()
	e.w.note("engine %s (%s) is draining", e.id, e.service)
	time.Sleep(drain)
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.w.rows.Remove(operator.InstanceKey(e.id))
	e.close()
	e.w.note("engine %s (%s) has left", e.id, e.service)
}

// crash ends the engine for good without notice. Its row expires after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.close()
	e.w.note("engine %s (%s) has crashed", e.id, e.service)
	time.Sleep(3 * heartbeat)
	e.w.rows.Remove(operator.InstanceKey(e.id))
}

func (e *engine) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// serve answers the requests of one connection, one after the other.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var copied string // an answer to send once more before the next one
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if copied != "" {
			if _, err := io.WriteString(c, copied); err != nil {
				return
			}
			e.w.note("engine %s sent its last answer on the connection once more, where the answer to %s is expected", e.id, r.Header.Get("X-Request-Id"))
			copied = ""
		}
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/report":
			err = e.report(c)
		case r.Method == http.MethodPost && r.URL.Path == "/order":
			err = e.order(c, r, body)
		case e.model != "" && r.Method != http.MethodPost:
			err = answer(c, http.StatusNotFound, nil, "")
		default:
			copied, err = e.run(c, r)
		}
		if err != nil {
			return
		}
	}
}

// answer writes a whole answer.
func answer(c net.Conn, status int, headers map[string]string, body string) error {
	_, err := io.WriteString(c, answerText(status, headers, body))
	return err
}

func answerText(status int, headers map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n" + body
}

func (e *engine) report(c net.Conn) error {
	e.mu.Lock()
	raw := map[string]any{
		"Stage": "both", "Models": []map[string]any{{"Name": e.model, "Version": e.version, "Adapters": []string{}}}, "Busy": e.busy,
		"Sequence": e.sequence, "NumWaiting": 0, "NumRunning": e.running, "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": e.born,
	}
	e.mu.Unlock()
	text, err := json.Marshal(raw)
	must(err)
	return answer(c, http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(text))
}

func (e *engine) order(c net.Conn, r *http.Request, body []byte) error {
	var o struct {
		Op, Model, Holder               string
		Version, FencingToken, Expected uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Op != "Version" || o.Holder == "" || o.FencingToken == 0 {
		return answer(c, http.StatusBadRequest, nil, "")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != e.id:
		return answer(c, http.StatusMisdirectedRequest, nil, "")
	case o.Version == e.version:
		return answer(c, http.StatusOK, nil, "")
	case e.busy || o.Expected != e.sequence:
		return answer(c, http.StatusConflict, nil, "")
	}
	e.busy = true
	e.sequence++
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.version = false, o.Version
	})
	return answer(c, http.StatusAccepted, nil, "")
}

// begin takes a slot; it returns false if the request is declined.
func (e *engine) begin(r *http.Request) (run, bool, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("X-Expect-Instance")
	if expected != "" && expected != e.id {
		return run{}, false, http.StatusMisdirectedRequest
	}
	if e.running >= e.slots || e.busy {
		return run{}, false, http.StatusServiceUnavailable
	}
	e.running++
	id := r.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return run{id: id, target: r.RequestURI, nth: e.w.begun(e, id), after: after}, true, 0
}

// run runs a request and answers it. copied is set if the answer is to be sent once more.
func (e *engine) run(c net.Conn, r *http.Request) (copied string, err error) {
	x, ok, status := e.begin(r)
	headers := map[string]string{"X-Request-Id": r.Header.Get("X-Request-Id")}
	if !ok {
		headers["X-Not-Run"] = "1"
		return "", answer(c, status, headers, "")
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	o := e.plan(e, x)
	headers["X-Server-Stamp"] = stampOf(e, x)
	if o.status != http.StatusOK || o.events == 0 {
		time.Sleep(o.takes)
		e.w.ended(e, x, o.status)
		text := answerText(o.status, headers, o.body)
		if _, err := io.WriteString(c, text); err != nil {
			return "", err
		}
		if o.copyLater {
			return text, nil
		}
		return "", nil
	}
	return "", e.stream(c, x, o, headers)
}

func stampOf(e *engine, x run) string { return fmt.Sprintf("%s.%s.%d", e.id, x.id, x.nth) }

// eventText is the data of event n of an item's text.
func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// stream answers with the events of a text after the last one that the caller has.
func (e *engine) stream(c net.Conn, x run, o outcome, headers map[string]string) error {
	headers = maps.Clone(headers)
	headers["Content-Type"], headers["Transfer-Encoding"] = "text/event-stream", "chunked"
	for n := x.after + 1; n <= o.events; n++ {
		time.Sleep(eventEvery)
		e.mu.Lock()
		version := e.version
		e.mu.Unlock()
		var b strings.Builder
		if n == x.after+1 {
			headers["X-Weight-Versions"] = strconv.FormatUint(version, 10)
			fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n")
			for name, value := range headers {
				fmt.Fprintf(&b, "%s: %s\r\n", name, value)
			}
			b.WriteString("\r\n")
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(x.id, n))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := io.WriteString(c, b.String()); err != nil {
			e.w.ended(e, x, 0)
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	e.w.ended(e, x, http.StatusOK)
	return err
}
