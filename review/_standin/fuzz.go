package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberryscale.example/fleet"
)

// sentRequest is a request as its client sent it, and what engines did with it.
type sentRequest struct {
	id, target, kind string
	body             []byte
	runs             int
	statuses         map[int]bool // given by engines, for runs
	full             []string     // whole bodies that engines gave
}

type fuzzWorld struct {
	*world
	mu       sync.Mutex
	requests map[string]*sentRequest
	broken   []string
	counts   map[string]int
}

func (f *fuzzWorld) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.note("BROKEN %s", text)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, text)
}

func (f *fuzzWorld) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[what]++
}

type fuzzEngine struct {
	f       *fuzzWorld
	id      string
	service string
	addr    string
	faulty  bool
	running chan struct{}
}

func (e *fuzzEngine) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.conn(c.(*net.TCPConn))
	}
}

func (e *fuzzEngine) chance(p float64) bool { return e.faulty && trouble() && rand.Float64() < p }

func (e *fuzzEngine) conn(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		if extra != nil {
			_, _ = c.Write(extra)
			extra = nil
		}
		early := e.chance(0.2) && req.ContentLength > 100000
		var body []byte
		if !early {
			if body, err = io.ReadAll(req.Body); err != nil {
				return
			}
		}
		if want := req.Header.Get("X-Expect-Instance"); want != e.id {
			e.f.breaks("misdirected %q at %s", want, e.id)
		}
		f := e.f
		f.mu.Lock()
		r := f.requests[id]
		f.mu.Unlock()
		if r == nil {
			f.breaks("UNASKED id %q", id)
			return
		}
		if req.RequestURI != r.target || req.Method != "POST" || req.Host != host || !early && !bytes.Equal(body, r.body) || req.Header.Get("X-Model") != "m"+id[:3] || len(req.Header.Values("X-Model")) != 1 {
			f.breaks("UNASKED %s changed: %s %s host %s, body %d of %d", id, req.Method, req.RequestURI, req.Host, len(body), len(r.body))
		}
		declined := func(status int) []byte {
			return fmt.Appendf(nil, "HTTP/1.1 %d No\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		}
		var text []byte
		full := false
		select {
		case e.running <- struct{}{}:
		default:
			full = true
		}
		switch {
		case full:
			f.count("declined, full")
			text = declined(503)
		case e.chance(0.05):
			<-e.running
			f.count("declined 429")
			text = declined(429)
		default:
			f.mu.Lock()
			r.runs++
			run := r.runs
			f.mu.Unlock()
			f.note("%s runs %s %s", e.id, r.kind, id)
			if strings.HasPrefix(r.kind, "stream") {
				after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
				ok := e.stream(c, r, after, run)
				<-e.running
				if !ok {
					return
				}
				continue
			}
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			<-e.running
			var keep bool
			text, keep = e.plain(c, r, run, early)
			if !keep {
				return
			}
			if text == nil {
				continue
			}
		}
		if _, err := c.Write(text); err != nil {
			return
		}
		if early {
			time.Sleep(20 * time.Millisecond)
			if body, err = io.ReadAll(req.Body); err != nil {
				return
			}
			if !bytes.Equal(body, r.body) {
				f.breaks("UNASKED other bytes where the rest of the body of %s is due", id)
			}
			f.count("early answers")
		}
		switch {
		case e.chance(0.03):
			f.count("extra at once")
			_, _ = c.Write(text)
		case e.chance(0.05) && (os.Getenv("FUZZ_NOTRUN") != "" || !bytes.Contains(text, []byte("Not-Run"))):
			f.count("extra late")
			extra = text
		}
	}
}

func bodyOf(r *sentRequest, engine string, run int) []byte {
	sum := sha256.Sum256([]byte(r.id + string(r.body)))
	line := fmt.Sprintf("%s run %d of %s %x\n", engine, run, r.id, sum[:4])
	return bytes.Repeat([]byte(line), 1+int(sum[0])%60)
}

// plain returns the bytes of an answer; keep is false if the connection ends.
func (e *fuzzEngine) plain(c *net.TCPConn, r *sentRequest, run int, early bool) (text []byte, keep bool) {
	f := e.f
	body := bodyOf(r, e.id, run)
	status := 200
	if e.chance(0.05) {
		status, body = 500, []byte("failed")
	}
	f.mu.Lock()
	r.statuses[status] = true
	if status == 200 {
		r.full = append(r.full, string(body))
	}
	f.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s.%d\r\n", status, r.id, e.id, r.id, run)
	framed := append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body...)
	chunked := []byte(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 1+rand.IntN(2000))
		chunked = fmt.Appendf(chunked, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	chunked = append(chunked, "0\r\n\r\n"...)
	unframed := append([]byte(head+"\r\n"), body...)
	reset := func() { c.SetLinger(0); c.Close() }
	whole := framed
	if rand.IntN(2) == 0 {
		whole = chunked
	}
	switch {
	case e.chance(0.03):
		f.count("reset without an answer")
		reset()
		return nil, false
	case e.chance(0.03):
		f.count("closed without an answer")
		return nil, false
	case e.chance(0.03):
		f.count("cut, reset")
		c.Write(whole[:rand.IntN(len(whole))])
		time.Sleep(5 * time.Millisecond)
		reset()
		return nil, false
	case e.chance(0.03):
		f.count("cut, closed")
		c.Write(whole[:rand.IntN(len(whole))])
		return nil, false
	case e.chance(0.03):
		f.count("unframed, reset")
		c.Write(unframed[:len(head)+rand.IntN(len(unframed)-len(head))])
		time.Sleep(5 * time.Millisecond)
		reset()
		return nil, false
	case e.chance(0.05) && !early:
		f.count("unframed")
		c.Write(unframed)
		return nil, false
	case e.chance(0.02):
		f.count("garbage")
		c.Write([]byte("\x00\x01garbage that is no answer\r\n\r\n"))
		return nil, false
	case e.chance(0.02):
		f.count("interim")
		return append([]byte("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), whole...), true
	case e.chance(0.02):
		f.count("silent for a second")
		time.Sleep(time.Second)
	}
	return whole, true
}

const fuzzEvents = 20

func eventText(r *sentRequest, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s event %d\n\n", n, r.id, n)
}

// stream writes a stream of events; false if the connection ends.
func (e *fuzzEngine) stream(c *net.TCPConn, r *sentRequest, after, run int) bool {
	f := e.f
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s.%d\r\nTransfer-Encoding: chunked\r\n\r\n", r.id, e.id, r.id, run)
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	f.mu.Lock()
	r.statuses[200] = true
	f.mu.Unlock()
	cut := 0
	if e.chance(0.3) {
		cut = after + 1 + rand.IntN(fuzzEvents)
	}
	for n := after + 1; n <= fuzzEvents; n++ {
		time.Sleep(time.Duration(rand.IntN(15)) * time.Millisecond)
		event := eventText(r, n)
		if n == cut {
			f.count("stream cut")
			part := event[:rand.IntN(len(event))]
			if rand.IntN(2) == 0 {
				c.Write([]byte(fmt.Sprintf("%x\r\n%s", len(event), part)))
			}
			if rand.IntN(2) == 0 {
				c.SetLinger(0)
			}
			return false
		}
		if _, err := c.Write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))); err != nil {
			return false
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

func fuzz(w *world) bool {
	f := &fuzzWorld{world: w, requests: map[string]*sentRequest{}, counts: map[string]int{}}
	w.startStore()
	route := func(name, prefix string, kind fleet.Kind, resumable bool) fleet.Route {
		return fleet.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Backends: []fleet.Backend{{Service: "desk", Weight: 1}},
			Timeout: 2 * time.Second, Objective: 150 * time.Millisecond, Priority: 2, MaxAttempts: 3, Resumable: resumable}
	}
	config := func(v uint64) *fleet.Config {
		return routes(v, []fleet.Service{{Name: "desk", MaxConns: 96}}, route("a", "/safe/", fleet.KindSafe, false), route("b", "/unsafe/", fleet.KindUnsafe, false),
			route("c", "/stream/", fleet.KindStream, false), route("d", "/streamr/", fleet.KindStream, true))
	}
	w.configure(config(1))
	for i := range 3 {
		e := &fuzzEngine{f: f, id: fmt.Sprintf("i-%d", i), addr: w.addr(21+i, portEngine), faulty: true, running: make(chan struct{}, 12)}
		l, err := net.Listen("tcp", e.addr)
		if err != nil {
			fail("%w", err)
		}
		go e.serve(l)
		stop := make(chan struct{})
		w.onClose(func() { close(stop); l.Close() })
		w.register(fleet.Instance{ID: e.id, Service: "desk", Addr: e.addr, Zone: "hall-a", Slots: 12, StartedAt: time.Now().UnixMilli()}, stop)
	}
	entries := []*process{w.startEntry("front-hall-a-1", 11), w.startEntry("front-hall-a-2", 12)}
	w.awaitReady(11)
	w.awaitReady(12)
	seconds, _ := strconv.Atoi(os.Getenv("FUZZ_SECONDS"))
	end := time.Now().Add(time.Duration(max(seconds, 20)) * time.Second)
	var wg sync.WaitGroup
	for n := range 24 {
		wg.Go(func() { f.client(11+n%2, end) })
	}
	if os.Getenv("FUZZ_STOP") != "" {
		go func() {
			for time.Now().Before(end) {
				time.Sleep(2 * time.Second)
				p := entries[rand.IntN(2)]
				w.signal(p, syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				w.signal(p, syscall.SIGCONT)
			}
		}()
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for what, n := range f.counts {
		w.note("%d %s", n, what)
	}
	return len(f.broken) > 0
}

// client sends requests, most on a kept connection, until end.
func (f *fuzzWorld) client(machine int, end time.Time) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	for time.Now().Before(end) {
		if rand.IntN(10) == 0 {
			transport.CloseIdleConnections()
		}
		kind := []string{"safe", "unsafe", "unsafe", "stream", "streamr"}[rand.IntN(5)]
		size := rand.IntN(1200)
		if rand.IntN(8) == 0 {
			size = rand.IntN(3 << 20)
		}
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		r := &sentRequest{id: id, kind: kind, body: body, target: "/" + kind + "/" + id[:2] + "?q=%2F" + id[:4], statuses: map[int]bool{}}
		f.mu.Lock()
		f.requests[id] = r
		f.mu.Unlock()
		f.one(transport, machine, r)
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
}

func (f *fuzzWorld) one(transport *http.Transport, machine int, r *sentRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	left := rand.IntN(25) == 0
	if left {
		time.AfterFunc(time.Duration(rand.IntN(60))*time.Millisecond, cancel)
	}
	var reader io.Reader = bytes.NewReader(r.body)
	if rand.IntN(4) == 0 {
		reader = struct{ io.Reader }{reader} // chunked
	}
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.addr(machine, portFront)+r.target, reader)
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Model", "m"+r.id[:3])
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		f.count("client: " + r.kind + " no answer")
		f.check(r, 0, left)
		return
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	f.count(fmt.Sprintf("client: %s %d", r.kind, resp.StatusCode))
	if resp.Header.Get("X-Request-Id") != r.id && resp.Header.Get("X-Server-Stamp") != "" {
		f.breaks("MIXED %s got the answer to %s", r.id, resp.Header.Get("X-Request-Id"))
	}
	stamp := resp.Header.Get("X-Server-Stamp")
	switch {
	case stamp != "" && !strings.Contains(stamp, r.id):
		f.breaks("MIXED %s has stamp %s", r.id, stamp)
	case stamp == "" && resp.StatusCode < 300:
		f.breaks("MIXED %s %d without a stamp", r.id, resp.StatusCode)
	}
	f.mu.Lock()
	given, full := r.statuses[resp.StatusCode], r.full
	f.mu.Unlock()
	if stamp != "" && !given {
		f.breaks("MIXED %s %d with a stamp, not given by an engine", r.id, resp.StatusCode)
	}
	if err == nil && resp.StatusCode == 200 {
		if strings.HasPrefix(r.kind, "stream") {
			want := ""
			for n := 1; n <= fuzzEvents; n++ {
				want += eventText(r, n)
			}
			if string(data) != want {
				f.breaks("ORDER %s %s: %q", r.kind, r.id, data)
			}
		} else {
			ok := false
			for _, b := range full {
				ok = ok || b == string(data)
			}
			if !ok {
				f.breaks("MIXED %s: a body of %d bytes that no engine gave whole", r.id, len(data))
			}
		}
	}
	f.check(r, resp.StatusCode, left)
}

// check checks how often the request ran, now and some time later.
func (f *fuzzWorld) check(r *sentRequest, status int, left bool) {
	time.AfterFunc(700*time.Millisecond, func() {
		f.mu.Lock()
		runs := r.runs
		f.mu.Unlock()
		if (r.kind == "unsafe" || r.kind == "stream") && runs > 1 {
			f.breaks("TWICE %s %s ran %d times", r.kind, r.id, runs)
		}
		if (r.kind == "unsafe" || r.kind == "stream") && runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
			f.breaks("REFUSED %s %s ran and was answered %d", r.kind, r.id, status)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		r.body = nil
	})
}
