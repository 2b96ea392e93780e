package e2e

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryscale.example/platform/duties"
)

// Times of the soak's duties.
const (
	soakLease  = time.Second
	soakWindow = time.Second
	soakDue    = 4 * time.Second
	// soakThaw is how long after its sender was resumed, or its path mended, a call
	// may arrive late.
	soakThaw = 300 * time.Millisecond
)

// soakDuties stands in for the platform's calls that are the duty of one process
// at a time, and judges them.
type soakDuties struct {
	record *record

	mu      sync.Mutex
	counts  map[uint64]map[string]uint64 // reported, by window
	tokens  map[uint64]string            // machine by token
	highest uint64
	calls   []dutyCall
	excused map[string]time.Time // until when, by machine
	away    bool
}

type dutyCall struct {
	machine string
	at      time.Time
}

func newSoakDuties(r *record) *soakDuties {
	return &soakDuties{record: r, counts: map[uint64]map[string]uint64{}, tokens: map[uint64]string{}, excused: map[string]time.Time{}}
}

// excuse lets a machine's calls arrive late until soakThaw from now.
func (d *soakDuties) excuse(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excused[machine] = time.Now().Add(soakThaw)
}

// set lets the platform take calls without answering them, or answer again.
func (d *soakDuties) set(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

// serve takes the calls of one machine.
func (d *soakDuties) serve(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call, err := duties.Decode(r)
		if err != nil {
			d.record.problem("duty call of %s: %v", machine, err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if call.Report == nil {
			d.record.problem("%s ordered %+v, and no service is scaled", machine, call.Order)
			return
		}
		d.judge(machine, call)
		if d.away {
			panic(http.ErrAbortHandler)
		}
	})
}

// judge judges a call as the platform does. d.mu is held.
func (d *soakDuties) judge(machine string, call *duties.Call) {
	d.record.count("duty calls")
	now := time.Now()
	if had, ok := d.counts[call.Report.Window]; ok && !maps.Equal(had, call.Report.Counts) {
		d.record.problem("window %d reported with %v and %v", call.Report.Window, had, call.Report.Counts)
	}
	d.counts[call.Report.Window] = call.Report.Counts
	if now.Before(d.excused[machine]) {
		return
	}
	if had, ok := d.tokens[call.Fence.Token]; ok && had != machine {
		d.record.problem("token %d of %s and %s", call.Fence.Token, had, machine)
	}
	d.tokens[call.Fence.Token] = machine
	if call.Fence.Token < d.highest {
		d.record.problem("token %d of %s after %d", call.Fence.Token, machine, d.highest)
	}
	d.highest = max(d.highest, call.Fence.Token)
	d.calls = append(d.calls, dutyCall{machine, now})
	for i, other := len(d.calls)-2, false; i >= 0 && now.Sub(d.calls[i].at) < soakLease; i-- {
		switch {
		case d.calls[i].machine != machine:
			other = true
		case other:
			d.record.problem("%s acts before and after another machine within %s", machine, now.Sub(d.calls[i].at))
			return
		}
	}
}

// reported sums what was reported of an organisation since a window.
func (d *soakDuties) reported(organisation string, since uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum uint64
	for window, counts := range d.counts {
		if window >= since {
			sum += counts[organisation]
		}
	}
	return sum
}

// openDuties gives an agent's machine its way to the platform's duty calls.
func (w *soakWorld) openDuties(m *soakInstance) {
	l, err := net.Listen("tcp", addr(m.ip, portDutiesIn))
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: w.duties.serve(m.name)}
	go server.Serve(l) // ends with close
	w.t.Cleanup(func() { server.Close() })
	m.dutyLink = w.link(addr(m.ip, portDuties), addr(m.ip, portDutiesIn))
}

// settleUsage checks, once no caller but this one is left, that each request that
// was served from now on is reported once.
func (w *soakWorld) settleUsage() {
	const requests = 6
	c := w.client("accountant")
	time.Sleep(2 * soakWindow) // no run that a caller began before is still counted
	since := uint64(time.Now().Add(-soakWindow).UnixNano() / int64(soakWindow))
	before := w.record.runsOf(c.organisation)
	time.Sleep(soakWindow)
	for served := 0; served < requests; c.next++ {
		if c.forward(w.t.Context(), c.entry(), fmt.Sprintf("%s-%d", c.name, c.next), http.MethodGet, prefixLook+fmt.Sprint(c.next), false) {
			served++
		}
	}
	eventually(w.t, "usage is reported", func() error {
		want := uint64(w.record.runsOf(c.organisation) - before)
		if got := w.duties.reported(c.organisation, since); got != want {
			return fmt.Errorf("%d requests of %s reported, %d began", got, c.organisation, want)
		}
		return nil
	})
	text, err := json.Marshal(w.duties.counts)
	w.note("reports: %s %v", text, err)
}
