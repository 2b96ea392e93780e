package edf

import (
	"cmp"
	"slices"
	"time"
)

// Job is an open job as all agents read it from its row.
type Job struct {
	ID string
	// Rank orders jobs; 0 is the highest.
	Rank int
	// Accepted and Due are readings of the store's clock.
	Accepted, Due time.Duration
	// Groups is the number of groups, Wanted the number that the trainer waits for.
	Groups, Wanted int
	// Work is the time that all items take on one slot of an engine of the usual speed.
	Work time.Duration
}

// Engine is an engine that runs the jobs.
type Engine struct {
	Addr  string
	Slots int
}

// usableShare is the share of the capacity that is planned for under overload. The rest covers wrong estimates
// and slots whose last item began too late to be useful. Whether there is an overload is decided by the
// whole capacity: at 0.9 of it one trainer's steps were deferred otherwise.
const usableShare = 0.7

// Select returns for each job the share of its groups that may start; the others are deferred until a
// slot would be idle. It is 1 for all jobs if all their work can be done in time. Otherwise higher
// ranks are served first; the jobs of a rank get equal shares of the groups that they wait for, and
// capacity that is of no use to jobs that are due early goes to later ones.
//
// The result depends on the arguments alone and not on the current time: it changes only when a job
// or an engine comes or goes. What has been done of the older jobs when the newest was accepted is
// estimated from the selections at the times when jobs were accepted.
func Select(jobs []Job, engines []Engine, speed func(engine string) float64) map[string]float64 {
	p := &plan{slots: capacity(engines, speed)}
	p.capacity = p.slots
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for i := range jobs {
		p.advance(jobs[i].Accepted)
		p.add(&jobs[i])
		if i+1 == len(jobs) || jobs[i+1].Accepted > jobs[i].Accepted {
			p.decide()
		}
	}
	shares := make(map[string]float64, len(jobs))
	for _, j := range p.jobs {
		shares[j.ID] = j.share
	}
	return shares
}

// AtUsualSpeed returns how long work takes on an engine of the usual speed that took the given time on one of
// the given speed.
func AtUsualSpeed(took time.Duration, speed float64) time.Duration { return scale(took, speed) }

// capacity is the number of slots of the usual speed that equal all slots.
func capacity(engines []Engine, speed func(engine string) float64) float64 {
	sum := 0.0
	for _, e := range engines {
		sum += float64(e.Slots) * speed(e.Addr)
	}
	return sum
}

// plannedJob is a job with what was decided for it.
type plannedJob struct {
	*Job
	share  float64       // of its groups
	done   time.Duration // estimated, of its work
	frozen bool          // the share is decided
}

// need is the work that is still to be done for a share of the job's groups.
func (j *plannedJob) need(share float64) time.Duration {
	return max(0, scale(j.Work, share)-j.done)
}

// wanted is the share of the groups that the trainer waits for.
func (j *plannedJob) wanted() float64 {
	if j.Wanted <= 0 || j.Wanted >= j.Groups {
		return 1
	}
	return float64(j.Wanted) / float64(j.Groups)
}

// shareAt returns the share of the groups that is selected at a share of the wanted ones: at least what is
// done already.
func (j *plannedJob) shareAt(level float64) float64 {
	if j.Work <= 0 {
		return 1
	}
	return max(level*j.wanted(), j.done.Seconds()/j.Work.Seconds())
}

// plan is the state of a selection at a time.
type plan struct {
	slots    float64 // of the usual speed
	capacity float64 // the part of slots that is planned for
	now      time.Duration
	jobs     []*plannedJob // by due time
}

// add adds a job that has just been accepted.
func (p *plan) add(job *Job) {
	j := &plannedJob{Job: job}
	at, _ := slices.BinarySearchFunc(p.jobs, j, func(a, b *plannedJob) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.ID, b.ID))
	})
	p.jobs = slices.Insert(p.jobs, at, j)
}

// advance estimates the work that is done until a time: that of the selected groups, by due time.
func (p *plan) advance(to time.Duration) {
	budget := scale(to-p.now, p.capacity)
	for _, j := range p.jobs {
		worked := min(budget, j.need(j.share))
		if j.Due <= p.now {
			continue
		}
		j.done += worked
		budget -= worked
	}
	p.now = to
}

// decide sets the shares of all jobs that are not due yet.
func (p *plan) decide() {
	ranks := map[int]bool{}
	for _, j := range p.jobs {
		if j.frozen = j.Due <= p.now; !j.frozen {
			j.share = 1
			ranks[j.Rank] = true
		}
	}
	p.capacity = p.slots
	if _, late := p.firstLate(); !late {
		return
	}
	p.capacity = usableShare * p.slots
	for _, j := range p.jobs {
		if !j.frozen {
			j.share = 0
		}
	}
	order := make([]int, 0, len(ranks))
	for r := range ranks {
		order = append(order, r)
	}
	slices.Sort(order)
	for _, r := range order {
		p.fill(r)
	}
}

// fill raises the shares of all jobs of a rank together. Where no more can be done until a due time, the
// jobs that are due until then keep their shares, and those of later ones are raised further.
func (p *plan) fill(rank int) {
	for {
		var open []*plannedJob
		for _, j := range p.jobs {
			if !j.frozen && j.Rank == rank {
				open = append(open, j)
			}
		}
		if len(open) == 0 {
			return
		}
		level, late := p.raise(open)
		for _, j := range open {
			j.share = j.shareAt(level)
			j.frozen = level == 1 || j.Due <= late
		}
	}
}

// levelSteps is the number of steps in which levels are told apart: finer than a group of any job.
const levelSteps = 1000

// raise returns the highest share of the wanted groups at which all jobs can be done in time if the given
// ones get it, and the first due time that is missed with more.
func (p *plan) raise(open []*plannedJob) (level float64, late time.Duration) {
	low, high := 0, levelSteps+1
	for high-low > 1 {
		middle := (low + high) / 2
		for _, j := range open {
			j.share = j.shareAt(float64(middle) / levelSteps)
		}
		due, missed := p.firstLate()
		if missed {
			high, late = middle, due
			continue
		}
		low = middle
	}
	return float64(low) / levelSteps, max(late, open[0].Due)
}

// firstLate returns the first due time until which the selected work cannot be done.
func (p *plan) firstLate() (time.Duration, bool) {
	var work time.Duration
	for _, j := range p.jobs {
		if j.Due <= p.now {
			continue
		}
		work += j.need(j.share)
		if work > scale(j.Due-p.now, p.capacity) {
			return j.Due, true
		}
	}
	return 0, false
}

// Deferred reports whether a group of a job is deferred if the given share of the job's groups may start.
// position is the group's position among the groups of its job in the order of a hash of job and group,
// by which all agents defer the same groups.
func Deferred(share float64, position, groups int) bool {
	return float64(position) >= share*float64(groups)
}
