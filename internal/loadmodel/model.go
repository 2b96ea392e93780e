// Package loadmodel is a discrete-event simulation of services under load, for
// comparing policies: a simulated day takes milliseconds, since its time is
// virtual. Endpoints admit requests in order of arrival and report their load with
// each answer; senders don't coordinate with each other. It runs the policies that
// the programs use, not copies of them.
package loadmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"mulberryscale.example/fleet"
	"mulberryscale.example/picker"
)

// ServiceTime is the distribution of the time to serve a request, without
// queueing: lognormal, with a small share that takes several times as long.
type ServiceTime struct {
	Mean       time.Duration
	Sigma      float64 // standard deviation of the logarithm
	TailShare  float64 // share of requests whose time is multiplied by TailFactor
	TailFactor float64
}

// Traffic describes the arrivals of one kind of request.
type Traffic struct {
	Senders int
	// PerSecond is the rate of single requests (Poisson arrivals), of all senders
	// together.
	PerSecond float64
	// Burst is the number of requests that arrive within BurstSpread at the start
	// of each BurstInterval; 0 means no bursts. Each goes to a random sender, so
	// that senders have unequal shares.
	Burst                      int
	BurstInterval, BurstSpread time.Duration
	// ActiveSenders is how many of the senders share a burst; 0 means all.
	ActiveSenders int
	ServiceTime   ServiceTime
}

// Pattern is a simulated load: a service's endpoints and the interactive requests
// and background calls that they get.
type Pattern struct {
	Name      string
	Endpoints int
	Slots     int // of each endpoint
	// SlowEndpoints is how many of the endpoints take SlowFactor times as long.
	SlowEndpoints int
	SlowFactor    float64
	Interactive   Traffic
	Background    Traffic
	// NetworkDelay is the one-way delay of a message.
	NetworkDelay time.Duration
	// Length is the simulated time.
	Length time.Duration
}

// Limiter limits a sender's open background calls.
type Limiter interface {
	// Size returns the maximum number of open calls; open is their present number.
	Size(open int, now time.Time) int
	// ObserveLoad records the load reported with an answer.
	ObserveLoad(load fleet.Load, now time.Time)
	// CallDone records that a call was answered and how many are still open.
	CallDone(open int, now time.Time)
}

// Result is the result of one simulation.
type Result struct {
	// Interactive and Background are the times from when a request was due until
	// its answer arrived, sorted.
	Interactive, Background Times
	// Finished is the number of answered background calls of each sender.
	Finished []float64
	// Work is the service time of all requests served within Length, in seconds;
	// a slow endpoint's requests count as if it weren't slow.
	Work float64
}

// request is one request, from when it is due at its sender until it is answered.
type request struct {
	dueAt, sentAt time.Duration
	serviceTime   time.Duration
	sender        *sender
	interactive   bool
}

type sender struct {
	picker  *picker.Picker
	limiter Limiter // nil for interactive senders
	queue   []*request
	open    int
	index   int
}

type endpoint struct {
	instance fleet.Instance
	slowdown float64
	running  int
	queue    []*request
}

// event is an action at a simulated time; events of the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].seq < e[k].seq)
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is the state of one simulation.
type simulation struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	nextSeq   int
	events    events
	endpoints []*endpoint
	result    Result
	ids       int
}

// epoch is the time at which simulations start; only differences matter.
var epoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

// Run simulates a pattern with a seed. newLimiter returns the limiter of one
// background sender.
func Run(p Pattern, newLimiter func(Pattern) Limiter, seed uint64) Result {
	sim := &simulation{pattern: p, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range p.Endpoints {
		slow := 1.0
		if i < p.SlowEndpoints {
			slow = p.SlowFactor
		}
		sim.endpoints = append(sim.endpoints, &endpoint{slowdown: slow, instance: fleet.Instance{
			ID: fmt.Sprint("e", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: p.Slots,
		}})
	}
	sim.result.Finished = make([]float64, p.Background.Senders)
	sim.scheduleArrivals(p.Interactive, true, nil)
	sim.scheduleArrivals(p.Background, false, newLimiter)
	for sim.events.Len() > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		if sim.now > p.Length {
			break
		}
		next.do()
	}
	sim.result.Interactive.sort()
	sim.result.Background.sort()
	return sim.result
}

func (sim *simulation) schedule(wait time.Duration, do func()) {
	sim.nextSeq++
	heap.Push(&sim.events, event{sim.now + wait, sim.nextSeq, do})
}

// scheduleArrivals creates the senders of one kind of traffic and schedules the
// arrivals of its requests.
func (sim *simulation) scheduleArrivals(t Traffic, interactive bool, newLimiter func(Pattern) Limiter) {
	var senders []*sender
	for i := range t.Senders {
		s := &sender{picker: picker.New(), index: i}
		if newLimiter != nil {
			s.limiter = newLimiter(sim.pattern)
		}
		senders = append(senders, s)
	}
	arrive := func(at time.Duration, from []*sender) {
		r := &request{dueAt: at, serviceTime: sim.sampleServiceTime(t.ServiceTime), interactive: interactive, sender: from[sim.random.IntN(len(from))]}
		sim.schedule(at, func() { sim.enqueue(r) })
	}
	if t.PerSecond > 0 {
		gap := distuv.Exponential{Rate: t.PerSecond, Src: sim.random}
		for at := seconds(gap.Rand()); at < sim.pattern.Length; at += seconds(gap.Rand()) {
			arrive(at, senders)
		}
	}
	for at := time.Duration(0); t.Burst > 0 && at < sim.pattern.Length; at += t.BurstInterval {
		active := senders
		if t.ActiveSenders > 0 {
			from := sim.random.IntN(len(senders) - t.ActiveSenders + 1)
			active = senders[from : from+t.ActiveSenders]
		}
		for range t.Burst {
			arrive(at+time.Duration(sim.random.Float64()*float64(t.BurstSpread)), active)
		}
	}
}

func (sim *simulation) sampleServiceTime(w ServiceTime) time.Duration {
	mu := math.Log(w.Mean.Seconds()) - w.Sigma*w.Sigma/2
	work := distuv.LogNormal{Mu: mu, Sigma: w.Sigma, Src: sim.random}.Rand()
	if sim.random.Float64() < w.TailShare {
		work *= w.TailFactor
	}
	return seconds(work)
}

// enqueue queues a request that is due at its sender, and sends if possible.
func (sim *simulation) enqueue(r *request) {
	r.sender.queue = append(r.sender.queue, r)
	sim.send(r.sender)
}

// send sends queued requests until the limit of the sender's limiter is reached.
func (sim *simulation) send(s *sender) {
	for len(s.queue) > 0 && (s.limiter == nil || s.open < s.limiter.Size(s.open, sim.clock())) {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.open++
		r.sentAt = sim.now
		sim.ids++
		var candidates []fleet.Instance
		for _, e := range sim.endpoints {
			candidates = append(candidates, e.instance)
		}
		to, _ := s.picker.Pick(picker.Query{Candidates: candidates, Request: fmt.Sprint(sim.ids), Now: sim.clock()})
		s.picker.Begin(to.Incarnation(), false, sim.clock())
		for _, e := range sim.endpoints {
			if e.instance.ID == to.ID {
				sim.schedule(sim.pattern.NetworkDelay, func() { sim.admit(e, r) })
			}
		}
	}
}

// admit starts a request on an endpoint, or queues it if all slots are busy.
func (sim *simulation) admit(e *endpoint, r *request) {
	if e.running == sim.pattern.Slots {
		e.queue = append(e.queue, r)
		return
	}
	e.running++
	took := time.Duration(float64(r.serviceTime) * e.slowdown)
	sim.schedule(took, func() { sim.finish(e, r) })
}

func (sim *simulation) finish(e *endpoint, r *request) {
	load := fleet.Load{Running: e.running - 1, Waiting: len(e.queue), Slots: sim.pattern.Slots}
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		sim.admit(e, next)
	}
	sim.result.Work += r.serviceTime.Seconds()
	sim.schedule(sim.pattern.NetworkDelay, func() { sim.receiveAnswer(e, r, load) })
}

// receiveAnswer records the arrival of an answer at the sender.
func (sim *simulation) receiveAnswer(e *endpoint, r *request, load fleet.Load) {
	s := r.sender
	s.open--
	s.picker.End(e.instance.Incarnation(), picker.Outcome{Answered: true, Kind: "all", Took: sim.now - r.sentAt}, sim.clock())
	took := sim.now - r.dueAt
	if r.interactive {
		sim.result.Interactive = append(sim.result.Interactive, took)
	} else {
		sim.result.Background = append(sim.result.Background, took)
		sim.result.Finished[s.index]++
		s.limiter.ObserveLoad(load, sim.clock())
		s.limiter.CallDone(s.open, sim.clock())
	}
	sim.send(s)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
