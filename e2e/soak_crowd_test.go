package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	fleetview "mulberryscale.example/fleet"
)

// The crowd asks a service for several times what its endpoints can do, under organisations of
// unequal size and two ranks, beside the faults of the soak. It guards against refusals that say
// "not run" for requests that ran, and against lower ranks that are served before higher ones.
const (
	serviceHall = "hall"    // the service that the crowd asks
	prefixCrowd = "/crowd/" // repeatable

	// hallEndpoints and hallSlots give some 38 requests a second at 105 ms each, a quarter of what
	// the crowd asks for.
	hallEndpoints = 2
	hallSlots     = 2
	// crowdMargin is how much larger the share of its requests that a lower rank is served may be
	// than that of a higher one. The shares of some 600 requests each differ by chance and because
	// faults last for seconds.
	crowdMargin = 0.1
	// minCrowd is the number of requests of a rank from which on its share is compared.
	minCrowd = 200
)

// crowdOrganisation is an organisation of the crowd.
type crowdOrganisation struct {
	name     string
	rank     int
	interval time.Duration // between two of its requests
}

var crowdOrganisations = []crowdOrganisation{
	{"crowd-large", 1, 17 * time.Millisecond}, {"crowd-small", 1, 67 * time.Millisecond},
	{"crowd-low-large", 2, 17 * time.Millisecond}, {"crowd-low-small", 2, 67 * time.Millisecond},
}

// crowded reports whether a seed has a crowd, and the contract under which entries limit what they
// send. Seeds that were recorded before the crowd existed have none.
func crowded(seed uint64, kinds int) bool { return kinds == len(soakFaults) && seed%2 == 1 }

// crowdOrganisationsOf returns the crowd's organisations for the configuration.
func crowdOrganisationsOf() (list []fleetview.Organisation) {
	for _, o := range crowdOrganisations {
		list = append(list, fleetview.Organisation{Name: o.name, Priority: o.rank, Keys: []fleetview.APIKey{fleetview.APIKey(permanentKey(o.name))}})
	}
	return list
}

// startHall starts an endpoint of the crowd's service.
func (w *soakWorld) startHall(n int) {
	ip := w.ip(n)
	at := addr(ip, portEngine)
	w.halls = append(w.halls, w.startEngineAt(serviceHall, ip, at, at, nil))
}

// crowdCounts counts the requests of a rank and those that were served.
type crowdCounts struct{ asked, served atomic.Int64 }

func (c *crowdCounts) share() float64 { return float64(c.served.Load()) / float64(c.asked.Load()) }

// sendCrowd sends the crowd's requests until ctx is cancelled, and then compares the ranks.
func (w *soakWorld) sendCrowd(ctx context.Context) {
	ranks := map[int]*crowdCounts{}
	var senders sync.WaitGroup
	for _, o := range crowdOrganisations {
		if ranks[o.rank] == nil {
			ranks[o.rank] = &crowdCounts{}
		}
		counts := ranks[o.rank]
		senders.Go(func() { w.sendCrowdOf(ctx, o, counts) })
	}
	senders.Wait()
	for rank, counts := range ranks {
		w.note("crowd: rank %d asked %d, served %d", rank, counts.asked.Load(), counts.served.Load())
		w.record.add(fmt.Sprintf("crowd rank %d asked", rank), int(counts.asked.Load()))
		w.record.add(fmt.Sprintf("crowd rank %d served", rank), int(counts.served.Load()))
	}
	high, low := ranks[crowdOrganisations[0].rank], ranks[crowdOrganisations[len(crowdOrganisations)-1].rank]
	if high.asked.Load() < minCrowd || low.asked.Load() < minCrowd {
		return
	}
	if low.share() > high.share()+crowdMargin {
		w.record.problem("crowd: the lower rank was served %.2f of its requests, the higher one %.2f", low.share(), high.share())
	}
}

// sendCrowdOf sends the requests of one organisation at its interval, whatever becomes of them.
func (w *soakWorld) sendCrowdOf(ctx context.Context, o crowdOrganisation, counts *crowdCounts) {
	c := w.client(o.name)
	c.organisation = o.name
	var open sync.WaitGroup
	for sleep(ctx, o.interval) {
		c.next++
		id, entry := fmt.Sprintf("%s-%d", c.name, c.next), c.entry()
		open.Go(func() {
			counts.asked.Add(1)
			if c.forward(w.t.Context(), entry, id, http.MethodGet, prefixCrowd+id, false) {
				counts.served.Add(1)
			}
		})
	}
	open.Wait()
}
