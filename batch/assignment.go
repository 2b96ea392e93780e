package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"mulberryscale.example/pace"
)

// Assignment is the set of engines that serve a model. They change weight versions
// alternately: the engines of one half load even versions as soon as they are announced,
// those of the other half odd ones. A step may use the version before the newest, so one
// half runs a new step at once while the other loads, and each engine loads only every
// second version. Weight loads are the bottleneck: more than a few at a time slow each
// other down. Compared with loading every version on every engine once it is idle,
// alternating raised the earnings of twelve engines with three trainers by 6 in 100.
type Assignment struct {
	Halves [2][]string
}

// All returns the engines of both halves, sorted.
func (d Assignment) All() []string {
	return slices.Sorted(slices.Values(slices.Concat(d.Halves[0], d.Halves[1])))
}

// Has reports whether an engine serves the model.
func (d Assignment) Has(engine string) bool {
	return slices.Contains(d.Halves[0], engine) || slices.Contains(d.Halves[1], engine)
}

// Alternates reports whether the halves load versions alternately; a single engine cannot.
func (d Assignment) Alternates() bool { return len(d.Halves[0]) > 0 && len(d.Halves[1]) > 0 }

// LoadsAtOnce reports whether an engine loads a version as soon as it is announced.
func (d Assignment) LoadsAtOnce(engine string, version uint64) bool {
	return d.Alternates() && slices.Contains(d.Halves[version%2], engine)
}

// AssignEngines assigns a service's engines to its models in proportion to the demand, at
// least one to each. In round-robin order each model takes the free engine that it ranks
// highest, so that the loss of one engine moves few others. All processes that see the
// same engines, models and jobs compute the same assignment. Engines are identified by
// their addresses, which survive a restart. With fewer engines than models, every engine
// serves all models.
func AssignEngines(engines, models []string, demand *Demand) map[string]Assignment {
	engines = slices.Compact(slices.Sorted(slices.Values(engines))) // a restarted engine may be listed twice
	models = slices.Sorted(slices.Values(models))
	assignments := make(map[string]Assignment, len(models))
	if len(engines) < len(models) {
		for _, m := range models {
			assignments[m] = splitHalves(m, engines)
		}
		return assignments
	}
	quotas := quotas(len(engines), models, demand)
	ranked := make(map[string][]string, len(models))
	for _, m := range models {
		ranked[m] = rankEngines(m, engines)
	}
	assigned := make(map[string][]string, len(models))
	taken := make(map[string]bool, len(engines))
	for i := 0; len(taken) < len(engines) && len(models) > 0; i++ {
		m := models[i%len(models)]
		if quotas[m] == 0 {
			continue
		}
		quotas[m]--
		for taken[ranked[m][0]] {
			ranked[m] = ranked[m][1:]
		}
		assigned[m] = append(assigned[m], ranked[m][0])
		taken[ranked[m][0]] = true
	}
	for _, m := range models {
		assignments[m] = splitHalves(m, assigned[m])
	}
	return assignments
}

// rankEngines sorts the engines by their rank for a key, highest first.
func rankEngines(key string, engines []string) []string {
	type ranked struct {
		engine string
		rank   uint64
	}
	list := make([]ranked, len(engines))
	for i, e := range engines {
		list[i] = ranked{e, rank(key, e)}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].engine
	}
	return out
}

// quotas returns the number of engines for each model: at least one, otherwise its share
// of the demand. A model without known jobs counts as the mean of the others.
func quotas(engines int, models []string, demand *Demand) map[string]int {
	work, known, sum := map[string]float64{}, 0, 0.0
	for _, m := range models {
		if w := demand.Work(m); w > 0 {
			work[m] = float64(w)
			known++
			sum += work[m]
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	total := 0.0
	for _, m := range models {
		if work[m] == 0 {
			work[m] = mean
		}
		total += work[m]
	}
	quotas, left := map[string]int{}, engines
	for _, m := range models {
		quotas[m] = max(1, int(work[m]/total*float64(engines)))
		left -= quotas[m]
	}
	shortfall := func(m string) float64 { return work[m]/total*float64(engines) - float64(quotas[m]) }
	byShortfall := func(a, b string) int { return cmp.Compare(shortfall(a), shortfall(b)) }
	for ; left > 0; left-- {
		quotas[slices.MaxFunc(models, byShortfall)]++
	}
	for ; left < 0; left++ {
		spare := slices.DeleteFunc(slices.Clone(models), func(m string) bool { return quotas[m] == 1 })
		quotas[slices.MinFunc(spare, byShortfall)]--
	}
	return quotas
}

// splitHalves splits a model's engines into halves. Their order depends only on the model
// and the engines, so that an engine that joins or leaves moves at most one other into the
// other half. An engine that changes halves as a version is announced loads the version
// whose step it was just about to run, and the items assigned to it wait there for one to
// three seconds.
func splitHalves(model string, engines []string) Assignment {
	ordered := rankEngines("half of "+model, engines)
	middle := (len(ordered) + 1) / 2
	return Assignment{Halves: [2][]string{ordered[:middle], ordered[middle:]}}
}

// highestRanked returns the index of the engine with the highest rank for a key
// (rendezvous hashing).
func highestRanked(key string, engines []string) int {
	top := 0
	for i := range engines {
		if rank(key, engines[i]) > rank(key, engines[top]) {
			top = i
		}
	}
	return top
}

// rank is the weight of an engine for a key in rendezvous hashing.
func rank(key, engine string) uint64 { return xxhash.Sum64String(key + "\x00" + engine) }

// noOwner marks items of a job that was accepted while no engine was known; any agent
// whose engine serves their model may take them.
const noOwner = -1

// weightLoadCost is the load that an owner starts with if it must load weights first, in
// generated tokens: what an engine with a dozen slots generates in two seconds.
const weightLoadCost = 40_000

// AssignItems returns the index of the owner of each item of a job, or noOwner if the job
// has no owners. Groups stay together, since their items share a prompt; in descending
// order of expected tokens each goes to the owner with the least load so far, or where it
// would be done first if the paces of the owners are known. All agents compute the same.
func AssignItems(job *Job, items []Item) []int {
	groups := groupItems(items)
	slices.SortStableFunc(groups, func(a, b itemGroup) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.name, b.name))
	})
	order := slices.Clone(job.Owners)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(job.ID, a), rank(job.ID, b)) })
	load, paces := make([]int, len(order)), make([]int, len(order))
	for i, o := range order {
		at := slices.Index(job.Owners, o)
		if at >= job.Ready {
			load[i] = weightLoadCost
		}
		paces[i] = job.paceOf(at)
	}
	owners := make([]int, len(items))
	if len(order) == 0 {
		for i := range owners {
			owners[i] = noOwner
		}
		return owners
	}
	for _, g := range groups {
		least := 0
		if len(job.Paces) > 0 {
			least = soonestDone(g, load, paces)
		} else {
			for o := range order {
				if load[o] < load[least] {
					least = o
				}
			}
		}
		load[least] += g.tokens * paces[least] / pace.Usual
		owner := slices.Index(job.Owners, order[least])
		for _, i := range g.items {
			owners[i] = owner
		}
	}
	return owners
}

// paceOf returns the pace of an owner by index, the usual one if it is not known.
func (j *Job) paceOf(owner int) int {
	if owner >= len(j.Paces) || j.Paces[owner] <= 0 {
		return pace.Usual
	}
	return j.Paces[owner]
}

// assumedSlots is the number of items that an engine runs at a time, for the assignment by pace:
// the numbers of slots are not part of a job. With more or fewer slots, items are taken over
// when an engine has none left.
const assumedSlots = 8

// soonestDone returns the owner that is done with a group first. load is the time that the owners
// take for the groups assigned so far, in tokens at the usual pace; paces are their paces. A
// group takes an engine no less than the time of its longest item in one of the slots.
func soonestDone(g itemGroup, load, paces []int) int {
	soonest, earliest := 0, 0
	for o := range load {
		done := max(load[o]+g.tokens*paces[o]/pace.Usual, assumedSlots*g.longest*paces[o]/pace.Usual)
		if o == 0 || done < earliest {
			soonest, earliest = o, done
		}
	}
	return soonest
}

// itemGroup is a group of items, by index, and the tokens that they are expected to take, together
// and the longest one.
type itemGroup struct {
	name    string
	items   []int
	tokens  int
	longest int
}

// groupItems collects the items of each group; an item without a group is a group of its
// own.
func groupItems(items []Item) []itemGroup {
	byName := map[string]int{}
	var groups []itemGroup
	for i := range items {
		name := items[i].Group
		if name == "" {
			name = "item " + strconv.Itoa(i)
		}
		g, ok := byName[name]
		if !ok {
			g = len(groups)
			byName[name] = g
			groups = append(groups, itemGroup{name: name})
		}
		groups[g].items = append(groups[g].items, i)
		groups[g].tokens += items[i].expectedWork()
		groups[g].longest = max(groups[g].longest, items[i].expectedWork())
	}
	return groups
}

// promptTokenWeight is the cost of a prompt token relative to a generated one: engines
// read several hundred prompt tokens in the time in which they generate one.
const promptTokenWeight = 0.004

// expectedWork estimates the work of an item, in generated tokens.
func (i *Item) expectedWork() int {
	if i.ExpectedTokens > 0 {
		return i.ExpectedTokens + int(promptTokenWeight*float64(i.Tokens))
	}
	return max(1, i.Tokens)
}
