// Package loadmodel is a model of services under load, for choosing policies: a
// day takes milliseconds, since its time is virtual. Endpoints admit in order of
// arrival and tell their load with each answer; senders know nothing of each
// other. It drives the policies that the programs use, not copies of them.
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

// ServiceTime is how long requests work, without waiting: lognormal, with a few that
// take several times as long.
type ServiceTime struct {
	Mean       time.Duration
	Sigma      float64 // of the logarithm
	TailShare  float64 // share of the long ones
	TailFactor float64 // how many times as long
}

// Traffic is requests of one kind.
type Traffic struct {
	Senders int
	// PerSecond is the rate of all senders together, of single requests that
	// come by themselves.
	PerSecond float64
	// Burst is a number of requests that become due within Over of each other,
	// each Every; 0 is none. Senders share them unevenly, by chance.
	Burst                      int
	BurstInterval, BurstSpread time.Duration
	// ActiveSenders is how many of the senders share a burst; 0 is all.
	ActiveSenders int
	ServiceTime   ServiceTime
}

// Pattern is a load: a service, interactive requests and background calls.
type Pattern struct {
	Name      string
	Endpoints int
	Slots     int // of each endpoint
	// SlowEndpoints is how many of the endpoints work SlowX times as long.
	SlowEndpoints int
	SlowFactor    float64
	Interactive   Traffic
	Background    Traffic
	// NetworkDelay is the time that a message is under way.
	NetworkDelay time.Duration
	Length       time.Duration
}

// Limiter limits a sender's open background calls.
type Limiter interface {
	// Size is how many may be open while so many are.
	Size(open int, now time.Time) int
	// ObserveLoad takes the load that came with an answer.
	ObserveLoad(load fleet.Load, now time.Time)
	// CallDone says that a call has ended and how many are left open.
	CallDone(open int, now time.Time)
}

// Result is what a day came to.
type Result struct {
	// Interactive and Background are the times from due to answered, sorted.
	Interactive, Background Times
	// Finished are the background calls that each sender had answered.
	Finished []float64
	// Work is the work done within the day, in places times seconds.
	Work float64
}

// request is one request on its way.
type request struct {
	due, sent   time.Duration
	work        time.Duration
	sender      *sender
	interactive bool
}

type sender struct {
	picker *picker.Picker
	bound  Limiter // nil for interactive senders
	queue  []*request
	open   int
	index  int
}

type endpoint struct {
	instance fleet.Instance
	slow     float64
	running  int
	queue    []*request
}

// event is something that happens at a time; events of one time happen in the
// order in which they were made.
type event struct {
	at   time.Duration
	made int
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].made < e[k].made)
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// day is a run of the model.
type day struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	made      int
	events    events
	endpoints []*endpoint
	result    Result
	ids       int
}

// epoch is when the model's days begin; only differences count.
var epoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

func (d *day) clock() time.Time { return epoch.Add(d.now) }

// Run plays a pattern with a seed; bound makes the limit of each background sender.
func Run(p Pattern, bound func(Pattern) Limiter, seed uint64) Result {
	d := &day{pattern: p, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range p.Endpoints {
		slow := 1.0
		if i < p.SlowEndpoints {
			slow = p.SlowFactor
		}
		d.endpoints = append(d.endpoints, &endpoint{slow: slow, instance: fleet.Instance{
			ID: fmt.Sprint("e", i), Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: p.Slots,
		}})
	}
	d.result.Finished = make([]float64, p.Background.Senders)
	d.arrivals(p.Interactive, true, nil)
	d.arrivals(p.Background, false, bound)
	for d.events.Len() > 0 {
		next := heap.Pop(&d.events).(event)
		d.now = next.at
		if d.now > p.Length {
			break
		}
		next.do()
	}
	d.result.Interactive.sort()
	d.result.Background.sort()
	return d.result
}

func (d *day) after(wait time.Duration, do func()) {
	d.made++
	heap.Push(&d.events, event{d.now + wait, d.made, do})
}

// arrivals makes the senders of one kind of traffic and its requests.
func (d *day) arrivals(t Traffic, interactive bool, bound func(Pattern) Limiter) {
	var senders []*sender
	for i := range t.Senders {
		s := &sender{picker: picker.New(), index: i}
		if bound != nil {
			s.bound = bound(d.pattern)
		}
		senders = append(senders, s)
	}
	arrive := func(at time.Duration, from []*sender) {
		r := &request{due: at, work: d.work(t.ServiceTime), interactive: interactive, sender: from[d.random.IntN(len(from))]}
		d.after(at, func() { d.enter(r) })
	}
	if t.PerSecond > 0 {
		gap := distuv.Exponential{Rate: t.PerSecond, Src: d.random}
		for at := seconds(gap.Rand()); at < d.pattern.Length; at += seconds(gap.Rand()) {
			arrive(at, senders)
		}
	}
	for at := time.Duration(0); t.Burst > 0 && at < d.pattern.Length; at += t.BurstInterval {
		active := senders
		if t.ActiveSenders > 0 {
			from := d.random.IntN(len(senders) - t.ActiveSenders + 1)
			active = senders[from : from+t.ActiveSenders]
		}
		for range t.Burst {
			arrive(at+time.Duration(d.random.Float64()*float64(t.BurstSpread)), active)
		}
	}
}

func (d *day) work(w ServiceTime) time.Duration {
	mu := math.Log(w.Mean.Seconds()) - w.Sigma*w.Sigma/2
	work := distuv.LogNormal{Mu: mu, Sigma: w.Sigma, Src: d.random}.Rand()
	if d.random.Float64() < w.TailShare {
		work *= w.TailFactor
	}
	return seconds(work)
}

// enter takes a request that has become due at its sender.
func (d *day) enter(r *request) {
	r.sender.queue = append(r.sender.queue, r)
	d.send(r.sender)
}

// send sends what a sender's bound allows.
func (d *day) send(s *sender) {
	for len(s.queue) > 0 && (s.bound == nil || s.open < s.bound.Size(s.open, d.clock())) {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.open++
		r.sent = d.now
		d.ids++
		var candidates []fleet.Instance
		for _, e := range d.endpoints {
			candidates = append(candidates, e.instance)
		}
		to, _ := s.picker.Pick(picker.Query{Candidates: candidates, Request: fmt.Sprint(d.ids), Now: d.clock()})
		s.picker.Begin(to.Incarnation(), false)
		for _, e := range d.endpoints {
			if e.instance.ID == to.ID {
				d.after(d.pattern.NetworkDelay, func() { d.admit(e, r) })
			}
		}
	}
}

// admit lets a request run, or wait behind those that came before it.
func (d *day) admit(e *endpoint, r *request) {
	if e.running == d.pattern.Slots {
		e.queue = append(e.queue, r)
		return
	}
	e.running++
	took := time.Duration(float64(r.work) * e.slow)
	d.after(took, func() { d.finish(e, r) })
}

func (d *day) finish(e *endpoint, r *request) {
	load := fleet.Load{Running: e.running - 1, Waiting: len(e.queue), Slots: d.pattern.Slots}
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		d.admit(e, next)
	}
	d.result.Work += r.work.Seconds()
	d.after(d.pattern.NetworkDelay, func() { d.answered(e, r, load) })
}

// answered is the arrival of an answer at the sender.
func (d *day) answered(e *endpoint, r *request, load fleet.Load) {
	s := r.sender
	s.open--
	s.picker.End(e.instance.Incarnation(), picker.Outcome{Answered: true, Kind: "all", Took: d.now - r.sent}, d.clock())
	took := d.now - r.due
	if r.interactive {
		d.result.Interactive = append(d.result.Interactive, took)
	} else {
		d.result.Background = append(d.result.Background, took)
		d.result.Finished[s.index]++
		s.bound.ObserveLoad(load, d.clock())
		s.bound.CallDone(s.open, d.clock())
	}
	d.send(s)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
