package edf

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// trainerSteps are the sizes of the trainers' steps, in groups and items of each group.
var trainerSteps = []struct{ groups, items int }{{20, 8}, {5, 16}, {19, 8}, {9, 16}}

// Speeds of the engines in turn, as on a deployment that reports paces of 70, 70 and 170.
var unequalSpeeds = []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}

const (
	// engineSlotsOfFleet is the number of slots of each of many engines.
	engineSlotsOfFleet = 8
	// fleetDay is the length of a simulation of several engines.
	fleetDay = 60 * time.Second
	// meanItem is the mean length of simulation.itemLength.
	meanItem = 0.92
)

// fleetEngine is an engine of a fleetSimulation, with the items that it holds.
type fleetEngine struct {
	addr             string
	slots            int
	speed            float64
	waiting, running []*simItem
}

// fleetTrainer submits steps as the trainer of a simulation does.
type fleetTrainer struct {
	groups, items int
	rank          int
	open          []*simStep
	next          int
	nextAt        time.Duration
	inTime, asked int
	offset        float64 // of the first step, in step intervals
}

// fleetSimulation is a service with several engines and trainers.
type fleetSimulation struct {
	simulation // its random numbers, clock and item lengths
	engines    []*fleetEngine
	trainers   []*fleetTrainer
	shared     bool // the engines use Select
	// stale is the engine that decides by rows that are staleFor old; -1 if none does.
	stale    int
	staleFor time.Duration
	ended    map[*simStep]time.Duration
	steps    []*simStep
	deferred int // decisions to defer a group
	shares   map[time.Duration]map[string]float64
	// idleWithWork counts the times when a slot of an engine stayed idle though items waited there.
	idleWithWork int
}

// newFleet returns engines and trainers whose steps ask for load times what the slots allow.
func newFleet(seed uint64, engines, trainers int, load float64) *fleetSimulation {
	s := &fleetSimulation{stale: -1, ended: map[*simStep]time.Duration{}, shares: map[time.Duration]map[string]float64{}}
	s.random = rand.New(rand.NewPCG(seed, uint64(engines*100+trainers)))
	asked := 0.0
	for t := range trainers {
		size := trainerSteps[t%len(trainerSteps)]
		asked += float64(size.groups*size.items) * meanItem / stepInterval.Seconds()
		s.trainers = append(s.trainers, &fleetTrainer{groups: size.groups, items: size.items, offset: float64(t) / float64(trainers)})
	}
	if engines == 1 {
		s.engines = []*fleetEngine{{addr: "e0", slots: int(math.Round(asked / load)), speed: 1}}
		return s
	}
	for e := range engines {
		s.engines = append(s.engines, &fleetEngine{addr: fmt.Sprint("e", e), slots: engineSlotsOfFleet, speed: unequalSpeeds[e%len(unequalSpeeds)]})
	}
	for _, t := range s.trainers {
		t.groups = int(math.Round(float64(t.groups) * load * s.slots() / asked))
	}
	return s
}

// slots is the capacity in slots of the usual speed.
func (s *fleetSimulation) slots() float64 {
	sum := 0.0
	for _, e := range s.engines {
		sum += float64(e.slots) * e.speed
	}
	return sum
}

// submit submits a trainer's next step and assigns its groups to the engines with the least time of
// work from it, the largest group first.
func (s *fleetSimulation) submit(n int, t *fleetTrainer) {
	id := fmt.Sprint(len(s.steps))
	step := &simStep{number: len(s.steps), accepted: s.now, trainer: n, id: id, deferred: id + " deferred"}
	load := make([]float64, len(s.engines))
	items := map[*simGroup][]*simItem{}
	work := map[*simGroup]float64{}
	for range t.groups {
		g := &simGroup{step: step, rank: s.random.Uint64(), open: t.items}
		step.groups = append(step.groups, g)
		for range t.items {
			length := s.itemLength()
			estimate := time.Duration(float64(length) * math.Exp(0.5*s.random.NormFloat64()-0.125))
			items[g] = append(items[g], &simItem{group: g, length: length, estimate: estimate})
			step.work += estimate
			work[g] += estimate.Seconds()
		}
	}
	slices.SortFunc(step.groups, func(a, b *simGroup) int { return cmp.Compare(a.rank, b.rank) })
	for at, g := range step.groups {
		g.position = at
	}
	largest := slices.Clone(step.groups)
	slices.SortStableFunc(largest, func(a, b *simGroup) int { return cmp.Compare(work[b], work[a]) })
	first := s.random.IntN(len(s.engines))
	for _, g := range largest {
		least := first
		for e := range s.engines {
			if load[e] < load[least] {
				least = e
			}
		}
		e := s.engines[least]
		load[least] += work[g] / e.speed
		for _, i := range items[g] {
			i.length, i.estimate = scale(i.length, 1/e.speed), scale(i.estimate, 1/e.speed)
			e.waiting = append(e.waiting, i)
		}
	}
	t.open, t.asked, t.next = append(t.open, step), t.asked+len(step.groups), t.next+1
	s.steps = append(s.steps, step)
}

// selectAt returns the shares that an engine's agent computes from the rows that it sees.
func (s *fleetSimulation) selectAt(at time.Duration) map[string]float64 {
	if shares, ok := s.shares[at]; ok {
		return shares
	}
	var jobs []Job
	for _, step := range s.steps {
		end, ended := s.ended[step]
		if step.accepted > at || (ended && end <= at) {
			continue
		}
		wanted := int(math.Ceil(wantedShare * float64(len(step.groups))))
		jobs = append(jobs, Job{ID: step.id, Rank: s.trainers[step.trainer].rank, Accepted: step.accepted, Due: step.accepted + stepDue, Groups: len(step.groups), Wanted: wanted, Work: step.work})
	}
	var engines []Engine
	speeds := map[string]float64{}
	for _, e := range s.engines {
		engines = append(engines, Engine{Addr: e.addr, Slots: e.slots})
		speeds[e.addr] = e.speed
	}
	shares := Select(jobs, engines, func(e string) float64 { return speeds[e] })
	clear(s.shares)
	s.shares[at] = shares
	return shares
}

// isDeferred reports whether an engine defers a group.
func (s *fleetSimulation) isDeferred(shares map[string]float64, g *simGroup) bool {
	share, known := shares[g.step.id]
	if !known || g.begun {
		return false
	}
	return Deferred(share, g.position, len(g.step.groups))
}

// order returns an engine's waiting items in the order in which they should start.
func (s *fleetSimulation) order(n int, e *fleetEngine) []*simItem {
	shares := map[string]float64{}
	if s.shared {
		at := s.now
		if n == s.stale {
			at = max(0, s.now-s.staleFor)
		}
		shares = s.selectAt(at)
	}
	late := map[*simGroup]bool{}
	groups := map[*simGroup]*Group{}
	var list []*simGroup
	for _, i := range slices.Concat(e.running, e.waiting) {
		g, ok := groups[i.group]
		if !ok {
			g = &Group{Job: i.group.step.id, Due: i.group.step.accepted + stepDue - s.now, Begun: i.group.begun}
			if late[i.group] = s.isDeferred(shares, i.group); late[i.group] {
				g.Job = i.group.step.deferred
				s.deferred++
			}
			groups[i.group] = g
			list = append(list, i.group)
		}
		g.Work += s.remaining(i)
		g.Longest = max(g.Longest, s.remaining(i))
		if i.running {
			g.Running += s.remaining(i)
		}
	}
	flag := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	queue := slices.Clone(e.waiting)
	slices.SortStableFunc(queue, func(a, b *simItem) int {
		return cmp.Or(cmp.Compare(flag(late[a.group]), flag(late[b.group])), cmp.Compare(a.group.step.number, b.group.step.number), cmp.Compare(b.estimate, a.estimate))
	})
	slices.SortFunc(list, func(a, b *simGroup) int {
		return cmp.Or(cmp.Compare(flag(late[a]), flag(late[b])), cmp.Compare(a.step.number, b.step.number), -cmp.Compare(flag(a.begun), flag(b.begun)), cmp.Compare(a.rank, b.rank))
	})
	values := make([]Group, len(list))
	for i, g := range list {
		values[i] = *groups[g]
	}
	order, ok := Order(values, e.slots)
	if slices.ContainsFunc(list, func(g *simGroup) bool { return late[g] }) {
		order, ok = OverloadOrder(values, e.slots), true
	}
	if !ok {
		return queue
	}
	position := map[*simGroup]int{}
	for at, n := range order {
		position[list[n]] = at
	}
	slices.SortStableFunc(queue, func(a, b *simItem) int { return cmp.Compare(position[a.group], position[b.group]) })
	return queue
}

// fill starts waiting items in the free slots of all engines.
func (s *fleetSimulation) fill() {
	for n, e := range s.engines {
		if len(e.waiting) == 0 || len(e.running) == e.slots {
			continue
		}
		order := s.order(n, e)
		starting := order[:min(len(order), e.slots-len(e.running))]
		for _, i := range starting {
			i.running, i.startedAt, i.doneAt = true, s.now, s.now+i.length
			i.group.begun = true
		}
		e.running = append(e.running, starting...)
		e.waiting = slices.DeleteFunc(e.waiting, func(i *simItem) bool { return i.running })
		if len(e.running) < e.slots && len(e.waiting) > 0 {
			s.idleWithWork++
		}
	}
}

// complete ends the items that are done, and the steps that are.
func (s *fleetSimulation) complete() {
	for _, e := range s.engines {
		e.running = slices.DeleteFunc(e.running, func(i *simItem) bool {
			if i.doneAt > s.now {
				return false
			}
			if i.group.open--; i.group.open == 0 {
				step := i.group.step
				step.done++
				if s.now <= step.accepted+stepDue {
					s.trainers[step.trainer].inTime++
				}
			}
			return true
		})
	}
	for _, t := range s.trainers {
		for _, step := range t.open {
			if float64(step.done) >= wantedShare*float64(len(step.groups)) || s.now >= step.accepted+stepTimeout {
				s.end(t, step)
			}
		}
		t.open = slices.DeleteFunc(t.open, func(step *simStep) bool { return step.ended })
	}
}

// end ends a step and drops its items.
func (s *fleetSimulation) end(t *fleetTrainer, step *simStep) {
	step.ended, s.ended[step] = true, s.now
	ofStep := func(i *simItem) bool { return i.group.step == step }
	for _, e := range s.engines {
		e.waiting = slices.DeleteFunc(e.waiting, ofStep)
		e.running = slices.DeleteFunc(e.running, ofStep)
	}
	t.nextAt = max(t.nextAt, s.now+trainTime)
}

// run simulates a day; the trainers' first steps are spread over a step's interval.
func (s *fleetSimulation) run() {
	const tick = 20 * time.Millisecond
	for ; s.now < fleetDay; s.now += tick {
		clear(s.shares)
		s.complete()
		for n, t := range s.trainers {
			due := scale(stepInterval, float64(t.next)+t.offset)
			if len(t.open) < 2 && s.now >= max(due, t.nextAt) {
				s.submit(n, t)
			}
		}
		s.fill()
	}
}

// goodput is the share of the capacity that went into groups done in time.
func (s *fleetSimulation) goodput() float64 {
	done := 0.0
	for _, t := range s.trainers {
		done += float64(t.inTime*t.items) * meanItem
	}
	return done / (s.slots() * fleetDay.Seconds())
}

// credits returns the share of the groups asked for that was done in time, for each trainer.
func (s *fleetSimulation) credits() []float64 {
	var credits []float64
	for _, t := range s.trainers {
		credits = append(credits, float64(t.inTime)/float64(t.asked))
	}
	return credits
}
