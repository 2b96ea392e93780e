package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberryscale.example/fleet"
)

// lateRequest stops one of two entries with SIGTERM. Clients that have a kept connection to it send
// a request for a stream 3.1 to 3.4 s after that, which the engine ends before the end of the
// grace time. It returns whether a request that was passed on to an engine got no complete answer.
func lateRequest(w *world) bool {
	const (
		service = "lm-pool"
		clients = 6
		events  = 100
		gap     = 40 * time.Millisecond   // between two events
		first   = 3100 * time.Millisecond // after SIGTERM
		step    = 50 * time.Millisecond
	)
	w.startStore()
	w.configure(routes(1, []fleet.Service{{Name: service, MaxConns: 96}}, fleet.Route{
		Name: "chat", Host: host, Prefix: "/chat/", Kind: fleet.KindStream, Backends: []fleet.Backend{{Service: service, Weight: 1}},
		Timeout: 10 * time.Second, Objective: 500 * time.Millisecond, Priority: 2, MaxAttempts: 2,
	}))
	engines := []*plainEngine{
		{service: service, machine: 21, slots: 12, queue: 24, events: events, gap: gap},
		{service: service, machine: 22, slots: 12, queue: 24, events: events, gap: gap},
	}
	for _, e := range engines {
		w.startPlainEngine(e)
	}
	entry := w.startEntry("front-hall-a-1", 11)
	w.startEntry("front-hall-a-2", 12)
	w.awaitReady(11)
	w.awaitReady(12)
	var conns []*keptConn
	var wg sync.WaitGroup
	for range clients {
		c := w.keep(11)
		conns = append(conns, c)
		wg.Go(func() { c.request("before SIGTERM") })
	}
	wg.Wait()
	time.Sleep(time.Second)
	stopped := time.Now()
	if trouble() {
		w.signal(entry, syscall.SIGTERM)
		time.AfterFunc(graceTime, func() { w.signal(entry, syscall.SIGKILL) })
	}
	lost := make([]bool, clients)
	for i, c := range conns {
		wg.Go(func() {
			time.Sleep(first + time.Duration(i)*step - time.Since(stopped))
			sent := time.Now()
			id, err := c.request(fmt.Sprintf("%s after SIGTERM", sent.Sub(stopped).Round(time.Millisecond)))
			ran := 0
			for _, e := range engines {
				e.mu.Lock()
				ran += e.runs[id]
				e.mu.Unlock()
			}
			if err != nil && ran > 0 {
				lost[i] = true
				w.note("LOST: %s, sent %s and ended %s after SIGTERM, ran %d times and got no complete answer: %v",
					id, sent.Sub(stopped).Round(time.Millisecond), time.Since(stopped).Round(time.Millisecond), ran, err)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Until(stopped.Add(graceTime)) + 500*time.Millisecond)
	broken := false
	for _, l := range lost {
		broken = broken || l
	}
	return broken
}

// keptConn is a client's connection that it keeps for several requests.
type keptConn struct {
	w    *world
	conn net.Conn
	in   *bufio.Reader
}

func (w *world) keep(machine int) *keptConn {
	conn, err := net.Dial("tcp", w.addr(machine, portFront))
	if err != nil {
		fail("%w", err)
	}
	w.onClose(func() { conn.Close() })
	return &keptConn{w: w, conn: conn, in: bufio.NewReader(conn)}
}

// request sends a request and returns its id, and an error unless a whole answer came.
func (c *keptConn) request(when string) (id string, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	c.w.note("client: sends %s on a kept connection, %s", id, when)
	body := "What is open in Patan this Saturday?"
	if _, err = fmt.Fprintf(c.conn, "POST /chat/3 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nX-Token-Usage: 1016,400\r\nContent-Length: %d\r\n\r\n%s", host, id, len(body), body); err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.in, nil); err == nil {
			var data []byte
			data, err = io.ReadAll(resp.Body)
			c.w.note("client: %s answered %d, %d events, Connection %q, error %v", id, resp.StatusCode, strings.Count(string(data), "\n\n"), resp.Header.Get("Connection"), err)
			return id, err
		}
	}
	c.w.note("client: %s got no answer: %v", id, err)
	return id, err
}
