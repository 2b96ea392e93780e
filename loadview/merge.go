package loadview

import (
	"cmp"
	"maps"
	"slices"
)

// windowKey identifies one start of an endpoint.
type windowKey struct {
	endpoint  string
	startedAt int64
}

// deferralKey identifies a job of a service.
type deferralKey struct{ service, job string }

// Merge returns the load of several processes. Counts, rates and windows are added up by service,
// class and endpoint. Of an engine's paces the youngest counts. Deferrals are the same at all
// processes that know the same rows, so they are not added up: of each job the one with the most
// deferred groups is kept.
func Merge(documents []Document) Load {
	merged := Load{Services: []Service{}}
	services := map[string][]Service{}
	engines := map[string]Engine{}
	deferrals := map[deferralKey]Deferral{}
	for i := range documents {
		d := &documents[i]
		merged.HeldBytes += d.HeldBytes
		for _, s := range d.Services {
			services[s.Name] = append(services[s.Name], s)
		}
		for _, e := range d.Engines {
			mergeEngine(engines, e)
		}
		for _, f := range d.Deferrals {
			mergeDeferral(deferrals, f)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		merged.Services = append(merged.Services, mergeServices(services[name]))
	}
	merged.Engines = sorted(engines, func(a, b Engine) int { return cmp.Compare(a.Address, b.Address) })
	merged.Deferrals = sorted(deferrals, compareDeferrals)
	return merged
}

func mergeEngine(engines map[string]Engine, e Engine) {
	known, ok := engines[e.Address]
	if !ok || known.Pace == 0 || e.Pace != 0 && e.AgeSeconds < known.AgeSeconds {
		engines[e.Address] = e
	}
}

func mergeDeferral(deferrals map[deferralKey]Deferral, f Deferral) {
	key := deferralKey{f.Service, f.Job}
	known, ok := deferrals[key]
	if !ok {
		deferrals[key] = f
		return
	}
	least := min(known.Least, f.Least)
	if known.Most > f.Most {
		f = known
	}
	f.Least = least
	deferrals[key] = f
}

func compareDeferrals(a, b Deferral) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Job, b.Job))
}

// mergeServices adds up the loads of one service.
func mergeServices(list []Service) Service {
	sum := Service{Name: list[0].Name}
	windows := map[windowKey]Window{}
	classes := map[ClassKey]Class{}
	for _, s := range list {
		sum.Open += s.Open
		sum.Waiting += s.Waiting
		sum.WaitingBytes += s.WaitingBytes
		sum.Admitted += s.Admitted
		sum.Queued += s.Queued
		sum.Rate += s.Rate
		for _, w := range s.Windows {
			key := windowKey{w.Endpoint, w.StartedAt}
			windows[key] = addWindows(windows[key], w)
		}
		for _, c := range s.Classes {
			classes[c.ClassKey] = addClasses(classes[c.ClassKey], c)
		}
	}
	sum.Windows = sorted(windows, func(a, b Window) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	sum.Classes = sorted(classes, compareClasses)
	return sum
}

// sorted returns the values of a map in order. It never returns nil, which would be null in JSON.
func sorted[K comparable, V any](values map[K]V, compare func(a, b V) int) []V {
	list := slices.AppendSeq([]V{}, maps.Values(values))
	slices.SortFunc(list, compare)
	return list
}

func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
}

func addWindows(sum, w Window) Window {
	w.Limit += sum.Limit
	w.Open += sum.Open
	w.Processes += sum.Processes
	return w
}

func addClasses(sum, c Class) Class {
	c.Asked += sum.Asked
	c.Waiting += sum.Waiting
	c.InTime += sum.InTime
	c.Late += sum.Late
	c.Failed += sum.Failed
	c.Refused = maps.Clone(c.Refused)
	for reason, n := range sum.Refused {
		if c.Refused == nil {
			c.Refused = map[string]uint64{}
		}
		c.Refused[reason] += n
	}
	return c
}
