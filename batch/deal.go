package batch

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DealModels says which of a service's engines serve which model: each model
// in turn takes the free engine that it ranks highest, so that all models get
// equally many and the loss of one engine moves few others. All processes that
// see the same engines and models compute the same. Engines are named by their
// addresses, which outlive a restart. With fewer engines than models, every
// engine serves all models.
func DealModels(engines, models []string) map[string][]string {
	engines = slices.Sorted(slices.Values(engines))
	models = slices.Sorted(slices.Values(models))
	deal := make(map[string][]string, len(models))
	if len(engines) < len(models) {
		for _, m := range models {
			deal[m] = engines
		}
		return deal
	}
	free := slices.Clone(engines)
	for len(free) > 0 {
		for _, m := range models {
			if len(free) == 0 {
				break
			}
			i := best(m, free)
			deal[m] = append(deal[m], free[i])
			free = slices.Delete(free, i, i+1)
		}
	}
	for _, m := range models {
		slices.Sort(deal[m])
	}
	return deal
}

// best is the index of the engine that a key ranks highest (rendezvous hashing).
func best(key string, engines []string) int {
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

// Split says which owner each item of a job goes to, by index: groups stay
// together, since their items share a prompt, and go in order of their expected
// tokens to the owner that has the least so far. All agents compute the same.
func Split(job *Job, items []Item) []int {
	groups := groupItems(items)
	slices.SortStableFunc(groups, func(a, b itemGroup) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.name, b.name))
	})
	order := slices.Clone(job.Owners)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(rank(job.ID, a), rank(job.ID, b)) })
	load := make([]int, len(order))
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
		groups[g].tokens += items[i].expected()
	}
	return groups
}

// promptShare weighs a prompt's token against a generated one: engines read
// several hundred tokens in the time in which they generate one.
const promptShare = 0.004

// expected is the work that an item is expected to be, in generated tokens.
func (i *Item) expected() int {
	if i.ExpectedTokens > 0 {
		return i.ExpectedTokens + int(promptShare*float64(i.Tokens))
	}
	return max(1, i.Tokens)
}
