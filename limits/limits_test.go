package limits

import (
	"testing"
	"time"

	"mulberryscale.example/api"
	"mulberryscale.example/table"
)

var testStart = time.Unix(1000, 0)

// TestOverloadIsShedByRow overloads one row: its requests are refused with a RetryAfter,
// and those of another row are admitted as before.
func TestOverloadIsShedByRow(t *testing.T) {
	set := NewSeededSet(1)
	flooded := &table.Row{Name: "flooded", MaxRPS: 10}
	calm := &table.Row{Name: "calm", MaxRPS: 10}
	refused := 0
	for i := range 1000 {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		if _, exceeded := set.Admit(flooded, now); exceeded != nil {
			refused++
			if exceeded.Code != api.CodeRateLimited || exceeded.RetryAfter <= 0 {
				t.Fatalf("refused with %+v", exceeded)
			}
		}
		if i%100 != 0 {
			continue
		}
		ticket, exceeded := set.Admit(calm, now)
		if exceeded != nil {
			t.Fatalf("the calm row was refused: %+v", exceeded)
		}
		ticket.Done(0, now)
	}
	if admitted := 1000 - refused; admitted < 10 || admitted > 20 {
		t.Errorf("%d of 1000 admitted in a second, want the burst of 10 and at most 10 more", admitted)
	}
}

// TestConcurrency: requests above the concurrency limit are refused until one completes.
func TestConcurrency(t *testing.T) {
	set := NewSeededSet(1)
	row := &table.Row{Name: "r", MaxConcurrency: 2}
	first, _ := set.Admit(row, testStart)
	if _, exceeded := set.Admit(row, testStart); exceeded != nil {
		t.Fatal("the second request was refused")
	}
	if _, exceeded := set.Admit(row, testStart); exceeded == nil || exceeded.Code != api.CodeConcurrency {
		t.Fatalf("third request: got %+v, want a concurrency refusal", exceeded)
	}
	first.Done(0, testStart)
	if _, exceeded := set.Admit(row, testStart); exceeded != nil {
		t.Fatal("refused although one request has completed")
	}
}

// TestTokenDebt: tokens above the rate block requests until the rate has made up for them.
func TestTokenDebt(t *testing.T) {
	set := NewSeededSet(1)
	row := &table.Row{Name: "r", MaxTPS: 100}
	ticket, _ := set.Admit(row, testStart)
	ticket.Done(600, testStart)
	if _, exceeded := set.Admit(row, testStart.Add(4*time.Second)); exceeded == nil || exceeded.Code != api.CodeRateLimited {
		t.Fatalf("4 s after 600 tokens at 100 a second: %+v", exceeded)
	}
	if _, exceeded := set.Admit(row, testStart.Add(6*time.Second)); exceeded != nil {
		t.Fatalf("6 s after 600 tokens at 100 a second: %+v", exceeded)
	}
}

// TestDemand: demand is the smoothed rate of requests, admitted or not, of rows with limits.
func TestDemand(t *testing.T) {
	set := NewSeededSet(1)
	limited, free := &table.Row{Name: "limited", MaxRPS: 1}, &table.Row{Name: "free"}
	var demand map[string]float64
	for range 30 {
		for range 50 {
			set.Admit(limited, testStart)
			set.Admit(free, testStart)
		}
		demand = set.MeasureDemand(time.Second)
	}
	if d := demand["limited"]; d < 49 || d > 51 || len(demand) != 1 {
		t.Errorf("demand %v, want 50 a second of the limited row alone", demand)
	}
}
