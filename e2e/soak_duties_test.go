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

// Timing of the duties, the calls to the platform that only the lease holder makes.
const (
	soakLease       = time.Second
	soakUsageWindow = time.Second
	soakUsageDue    = 4 * time.Second
	// soakLateTolerance is how long a delayed call may still arrive after its sender was
	// resumed or its link restored.
	soakLateTolerance = 300 * time.Millisecond
)

// soakDuties stands in for the platform's endpoint of the duty calls, which one process at a
// time may make, and checks the calls.
type soakDuties struct {
	record *record

	mu          sync.Mutex
	counts      map[uint64]map[string]uint64 // reported usage by window and organisation
	tokens      map[uint64]string            // machine by fencing token
	highest     uint64
	calls       []dutyCall
	lateUntil   map[string]time.Time // until when calls may arrive late, by machine
	unavailable bool
}

type dutyCall struct {
	machine string
	at      time.Time
}

func newSoakDuties(r *record) *soakDuties {
	return &soakDuties{record: r, counts: map[uint64]map[string]uint64{}, tokens: map[uint64]string{}, lateUntil: map[string]time.Time{}}
}

// tolerateLateCalls accepts late calls of a machine for soakLateTolerance from now.
func (d *soakDuties) tolerateLateCalls(machine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lateUntil[machine] = time.Now().Add(soakLateTolerance)
}

// setUnavailable makes the platform receive calls without answering them, or answer again.
func (d *soakDuties) setUnavailable(unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable = unavailable
}

// serve returns the handler of one machine's calls.
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
		d.checkCall(machine, call)
		if d.unavailable {
			panic(http.ErrAbortHandler)
		}
	})
}

// checkCall checks that repeated reports of a window are equal, that a fencing token belongs to
// one machine and never decreases, and that no machine acts before and after another one within
// one lease. d.mu is held.
func (d *soakDuties) checkCall(machine string, call *duties.Call) {
	d.record.count("duty calls")
	now := time.Now()
	if previous, ok := d.counts[call.Report.Window]; ok && !maps.Equal(previous, call.Report.Counts) {
		d.record.problem("window %d reported with %v and %v", call.Report.Window, previous, call.Report.Counts)
	}
	d.counts[call.Report.Window] = call.Report.Counts
	if now.Before(d.lateUntil[machine]) {
		return
	}
	if previous, ok := d.tokens[call.Fence.Token]; ok && previous != machine {
		d.record.problem("token %d used by %s and %s", call.Fence.Token, previous, machine)
	}
	d.tokens[call.Fence.Token] = machine
	if call.Fence.Token < d.highest {
		d.record.problem("token %d used by %s after %d", call.Fence.Token, machine, d.highest)
	}
	d.highest = max(d.highest, call.Fence.Token)
	d.calls = append(d.calls, dutyCall{machine, now})
	for i, otherActed := len(d.calls)-2, false; i >= 0 && now.Sub(d.calls[i].at) < soakLease; i-- {
		switch {
		case d.calls[i].machine != machine:
			otherActed = true
		case otherActed:
			d.record.problem("%s acts before and after another machine within %s", machine, now.Sub(d.calls[i].at))
			return
		}
	}
}

// reported returns the requests reported for an organisation from the window since on.
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

// startDutyServer starts the platform's duty endpoint for an agent's machine, behind a link.
func (w *soakWorld) startDutyServer(m *soakInstance) {
	l, err := net.Listen("tcp", addr(m.ip, portDutiesIn))
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: w.duties.serve(m.name)}
	go server.Serve(l) // returns after Close
	w.t.Cleanup(func() { server.Close() })
	m.dutyLink = w.link(addr(m.ip, portDuties), addr(m.ip, portDutiesIn))
}

// checkUsageReports checks that each request served from now on is reported once. No other
// caller may be running.
func (w *soakWorld) checkUsageReports() {
	const requests = 6
	c := w.client("accountant")
	time.Sleep(2 * soakUsageWindow) // so that runs of earlier callers are no longer counted
	since := uint64(time.Now().Add(-soakUsageWindow).UnixNano() / int64(soakUsageWindow))
	before := w.record.lookupsOf(c.organisation)
	time.Sleep(soakUsageWindow)
	for served := 0; served < requests; c.next++ {
		if c.forward(w.t.Context(), c.entry(), fmt.Sprintf("%s-%d", c.name, c.next), http.MethodGet, prefixLook+fmt.Sprint(c.next), false) {
			served++
		}
	}
	eventually(w.t, "usage is reported", func() error {
		want := uint64(w.record.lookupsOf(c.organisation) - before)
		if got := w.duties.reported(c.organisation, since); got != want {
			return fmt.Errorf("%d requests of %s reported, %d began", got, c.organisation, want)
		}
		return nil
	})
	text, err := json.Marshal(w.duties.counts)
	w.note("reports: %s %v", text, err)
}
