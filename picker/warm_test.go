package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"mulberryscale.example/fleet"
)

// sharedTraffic is the load that these tests answer: many senders share a modest rate of requests
// to a service with several endpoints in each zone.
type sharedTraffic struct {
	senders   int
	perSecond float64 // of all senders together
	length    time.Duration
}

const (
	testZones          = 5
	testEndpoints      = 20
	testConnectionIdle = ReuseTime + time.Second
	testAnswerTime     = 30 * time.Millisecond
)

// openedConnections is the result of a simulation.
type openedConnections struct {
	requests int
	opened   int // connections to endpoints
	fewest   int // connections if each sender used one endpoint only
	byTarget map[string]int
}

// run simulates Poisson arrivals, each at a random sender.
func (s sharedTraffic) run(seed uint64) openedConnections {
	random := rand.New(rand.NewPCG(seed, seed))
	var candidates []fleet.Instance
	for i := range testEndpoints {
		candidates = append(candidates, fleet.Instance{ID: fmt.Sprint("e", i), Slots: 6, Zone: fmt.Sprint("z", i%testZones)})
	}
	pickers := make([]*Picker, s.senders)
	lastSend := make([]time.Duration, s.senders)
	lastTo := make([]map[string]time.Duration, s.senders)
	for i := range pickers {
		pickers[i], lastTo[i], lastSend[i] = New(), map[string]time.Duration{}, -testConnectionIdle
	}
	result := openedConnections{byTarget: map[string]int{}}
	for at := time.Duration(0); at < s.length; at += time.Duration(random.ExpFloat64() / s.perSecond * float64(time.Second)) {
		n := random.IntN(s.senders)
		now := start.Add(at)
		to, _ := pickers[n].Take(Query{Candidates: candidates, Zone: fmt.Sprint("z", n%testZones), Request: fmt.Sprint(result.requests), Now: now}, false)
		pickers[n].End(to.Incarnation(), Outcome{Answered: true, Kind: "k", Took: testAnswerTime}, now.Add(testAnswerTime))
		result.requests++
		result.byTarget[to.ID]++
		if last, used := lastTo[n][to.ID]; !used || at-last >= testConnectionIdle {
			result.opened++
		}
		if at-lastSend[n] >= testConnectionIdle {
			result.fewest++
		}
		lastTo[n][to.ID], lastSend[n] = at, at
	}
	return result
}

// TestConnectionsOfManySendersStayFew shares one rate of requests among 100, 300 and 1,000 senders.
// Some connections are unavoidable: one to an endpoint for each wantedReuses sends within
// ReuseTime, and one after each time in which a sender sends nothing for longer than a connection
// stays open. At most a quarter more may be opened.
func TestConnectionsOfManySendersStayFew(t *testing.T) {
	for _, senders := range []int{100, 300, 1000} {
		r := sharedTraffic{senders: senders, perSecond: 200, length: 2 * time.Minute}.run(1)
		sends := 200 / float64(senders) * ReuseTime.Seconds()
		unavoidable := max(float64(r.fewest), float64(senders)*math.Ceil(sends/wantedReuses))
		if limit := 1.25*unavoidable + testEndpoints; float64(r.opened) > limit {
			t.Errorf("%d senders: %d connections opened for %d requests, want at most %.0f", senders, r.opened, r.requests, limit)
		}
	}
}

// TestFewEndpointsPerSenderKeepEndpointsEven checks that the endpoints get about equal shares of
// the requests although each sender uses few of them.
func TestFewEndpointsPerSenderKeepEndpointsEven(t *testing.T) {
	for _, senders := range []int{300, 1000} {
		r := sharedTraffic{senders: senders, perSecond: 200, length: 2 * time.Minute}.run(1)
		mean := float64(r.requests) / testEndpoints
		for id, n := range r.byTarget {
			if float64(n) > 1.5*mean || float64(n) < mean/2 {
				t.Errorf("%d senders: %s got %d requests, the mean is %.0f", senders, id, n, mean)
			}
		}
	}
}

// TestBusySenderUsesAllEndpointsOfItsZone checks that a sender with many requests spreads them
// evenly.
func TestBusySenderUsesAllEndpointsOfItsZone(t *testing.T) {
	r := sharedTraffic{senders: 1, perSecond: 50, length: time.Minute}.run(1)
	inZone := testEndpoints / testZones
	mean := float64(r.requests) / float64(inZone)
	for i := range inZone {
		id := fmt.Sprint("e", i*testZones)
		if n := float64(r.byTarget[id]); n > 1.2*mean || n < 0.8*mean {
			t.Errorf("%s got %.0f requests, the mean is %.0f", id, n, mean)
		}
	}
}
