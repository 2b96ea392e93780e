package loadmodel

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

// seeds is the number of seeds per simulation. It is large enough that the policies of
// these tests differ by far more than the seeds do.
const seeds = 5

func measure(t *testing.T, pattern, policy string) Row {
	t.Helper()
	row, err := Simulate(pattern, policy, seeds)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

func TestSameSeedSameResult(t *testing.T) {
	p := shortDesk()
	if !reflect.DeepEqual(Run(p, Policies()["window"], 3), Run(p, Policies()["window"], 3)) {
		t.Fatal("two runs of one seed differ")
	}
}

// With bursts of background calls, the window must leave far fewer interactive
// requests late than without a limit, and must not delay the calls much.
func TestBurstsBesideInteractiveRequests(t *testing.T) {
	for _, pattern := range []string{"short-desk", "many-senders"} {
		free, bounded := measure(t, pattern, "none"), measure(t, pattern, "window")
		if bounded.Late.Mean > free.Late.Mean/3 {
			t.Errorf("%s: %.3f late, %.3f without a limit", pattern, bounded.Late.Mean, free.Late.Mean)
		}
		if bounded.BackgroundP99.Mean > 2500 {
			t.Errorf("%s: a background call took %.0f ms at the 99th percentile", pattern, bounded.BackgroundP99.Mean)
		}
	}
}

// If few of many senders have all the calls, the window must grow beyond the fair
// share, where a fixed limit would delay the calls.
func TestFewSendersUseFullCapacity(t *testing.T) {
	fixed, bounded := measure(t, "few-senders", "two"), measure(t, "few-senders", "window")
	if bounded.BackgroundP50.Mean > fixed.BackgroundP50.Mean/2 {
		t.Errorf("half of the calls within %.0f ms, with a fixed limit %.0f ms", bounded.BackgroundP50.Mean, fixed.BackgroundP50.Mean)
	}
	if bounded.Late.Mean > 0.01 {
		t.Errorf("%.3f of the interactive requests late", bounded.Late.Mean)
	}
}

// At three times the endpoints' capacity, the endpoints must stay busy, all senders
// must get equal shares, and interactive requests must be served in time.
func TestSaturation(t *testing.T) {
	p := saturated()
	r := measure(t, p.Name, "window")
	slots := float64(p.Endpoints * p.Slots)
	if r.Work.Mean < 0.7*slots {
		t.Errorf("%.1f of %.0f slots busy", r.Work.Mean, slots)
	}
	if r.Jain.Mean < 0.95 {
		t.Errorf("Jain index of senders %.3f", r.Jain.Mean)
	}
	if r.Late.Mean > 0.05 {
		t.Errorf("%.3f of the interactive requests late", r.Late.Mean)
	}
}

// One of four endpoints takes five times as long. Its response times must keep most
// requests of either kind away from it; without that, 0.17 were late.
func TestSlowEndpointGetsFewRequests(t *testing.T) {
	r := measure(t, "slow-endpoint", "window")
	if r.Late.Mean > 0.06 {
		t.Errorf("%.3f of the interactive requests late", r.Late.Mean)
	}
}

// The work done must grow with the load and must not fall again under overload.
func TestGoodputDoesNotFallUnderOverload(t *testing.T) {
	peak := 0.0
	for _, times := range []int{1, 2, 3, 4} {
		p := saturated()
		p.Background.Burst = 480 * times
		work := Run(p, Policies()["window"], 1).Work
		peak = max(peak, work)
		if times >= 3 && work < 0.95*peak {
			t.Errorf("at %d times the load %.0f, peak %.0f", times, work, peak)
		}
	}
}

func TestTableAndPlot(t *testing.T) {
	rows := []Row{measure(t, "short-desk", "one"), measure(t, "short-desk", "two")}
	var out bytes.Buffer
	if err := WriteTable(&out, rows); err != nil || !strings.Contains(out.String(), "short-desk  two") {
		t.Errorf("got %s, %v", out.String(), err)
	}
	if err := Plot(rows, t.TempDir()+"/p.png"); err != nil {
		t.Error(err)
	}
	if _, err := Simulate("nowhere", "one", 1); err == nil {
		t.Error("an unknown pattern was measured")
	}
}

func TestTimes(t *testing.T) {
	times := Times{1, 2, 3, 4}
	if times.Quantile(0.5) != 3 || times.Over(3*time.Nanosecond) != 0.25 || Times(nil).Quantile(0.5) != 0 {
		t.Errorf("%v, %v", times.Quantile(0.5), times.Over(3))
	}
	if j := Jain([]float64{1, 0, 0, 0}); j != 0.25 {
		t.Errorf("Jain %v", j)
	}
}
