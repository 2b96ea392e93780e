package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Assignment says which engines serve a model. They change versions in turn: those
// of one half take even versions as soon as they are named, those of the other
// odd ones. A step may use the version before the newest, so one half runs a
// new step at once while the other loads, and each engine loads every second
// version only. Loads are what binds: more than a few at a time slow each other
// down. Against loading every version on every engine once it is idle, turns
// raised what twelve engines with three trainers earned by 6 in 100.
type Assignment struct {
	Halves [2][]string
}

// All are the engines of both halves.
func (d Assignment) All() []string {
	return slices.Sorted(slices.Values(slices.Concat(d.Halves[0], d.Halves[1])))
}

// Has reports whether an engine serves the model.
func (d Assignment) Has(engine string) bool {
	return slices.Contains(d.Halves[0], engine) || slices.Contains(d.Halves[1], engine)
}

// Alternates reports whether the halves take turns; a single engine cannot.
func (d Assignment) Alternates() bool { return len(d.Halves[0]) > 0 && len(d.Halves[1]) > 0 }

// LoadsAtOnce reports whether an engine loads a version as soon as it is named.
func (d Assignment) LoadsAtOnce(engine string, version uint64) bool {
	return d.Alternates() && slices.Contains(d.Halves[version%2], engine)
}

// AssignEngines deals a service's engines out to its models, as many to each as
// its share of the demand wants and at least one: each model in turn takes the
// free engine that it ranks highest, so that the loss of one engine moves few
// others. All processes that see the same engines, models and jobs compute the
// same. Engines are named by their addresses, which outlive a restart. With
// fewer engines than models, every engine serves all models.
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

// rankEngines are the engines in the order in which a key ranks them, the highest first.
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

// quotas says how many engines each model gets: one, and of the rest its share
// by the demand. A model without known jobs counts as the mean of the others.
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

// splitHalves cuts the engines of a model into halves, in an order that is the model's
// and theirs alone: an engine that comes or goes moves one other at most into the
// other half. One that changes its half as a version is named loads the version
// whose step it was just about to run, and the items that it was dealt wait there
// for one to three seconds.
func splitHalves(model string, engines []string) Assignment {
	ordered := rankEngines("half of "+model, engines)
	middle := (len(ordered) + 1) / 2
	return Assignment{Halves: [2][]string{ordered[:middle], ordered[middle:]}}
}

// highestRanked is the index of the engine that a key ranks highest (rendezvous hashing).
func highestRanked(key string, engines []string) int {
	top := 0
	for i := range engines {
		if rank(key, engines[i]) > rank(key, engines[top]) {
			top = i
		}
	}
	return top
}

func rank(key, engine string) uint64 { return xxhash.Sum64String(key + "\x00" + engine) }

// noOwner is the owner of items that were accepted while no engine was known;
// whoever serves their model then takes them.
const noOwner = -1

// weightLoadCost is what an owner that loads weights first is counted to have
// already, in generated tokens: what an engine of a dozen slots makes in two seconds.
const weightLoadCost = 40_000

// AssignItems says which owner each item of a job goes to, by index: groups stay
// together, since their items share a prompt, and go in order of their expected
// tokens to the owner that has the least so far. All agents compute the same.
func AssignItems(job *Job, items []Item) []int {
	groups := groupItems(items)
	slices.SortStableFunc(groups, func(a, b itemGroup) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.name, b.name))
	})
	order := slices.Clone(job.Owners)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(job.ID, a), rank(job.ID, b)) })
	load := make([]int, len(order))
	for i, o := range order {
		if slices.Index(job.Owners, o) >= job.Ready {
			load[i] = weightLoadCost
		}
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
		for o := range order {
			if load[o] < load[least] {
				least = o
			}
		}
		load[least] += g.tokens
		owner := slices.Index(job.Owners, order[least])
		for _, i := range g.items {
			owners[i] = owner
		}
	}
	return owners
}

type itemGroup struct {
	name   string
	items  []int
	tokens int
}

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
	}
	return groups
}

// promptTokenWeight weighs a prompt's token against a generated one: engines read
// several hundred tokens in the time in which they generate one.
const promptTokenWeight = 0.004

// expectedWork is the work that an item is expectedWork to be, in generated tokens.
func (i *Item) expectedWork() int {
	if i.ExpectedTokens > 0 {
		return i.ExpectedTokens + int(promptTokenWeight*float64(i.Tokens))
	}
	return max(1, i.Tokens)
}
