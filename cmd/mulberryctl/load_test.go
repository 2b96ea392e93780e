package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/loadview"
	"mulberryscale.example/pace"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
)

// startLoadProcess serves the load of a process whose counters grow by one with each read.
func startLoadProcess(t *testing.T, process string) (addr string) {
	t.Helper()
	var reads atomic.Uint64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != loadview.Path {
			http.NotFound(w, r)
			return
		}
		n := reads.Add(1)
		class := loadview.Class{ClassKey: loadview.ClassKey{Rank: 1, Organisation: "guthi"}, Asked: 40 + n, InTime: 10, Refused: map[string]uint64{"no_time": 30 + n}}
		_ = json.NewEncoder(w).Encode(loadview.Document{Process: process, Incarnation: "a", Load: loadview.Load{
			Services: []loadview.Service{{Name: "desk", Waiting: 3, Rate: 2, Classes: []loadview.Class{class}}},
		}})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestLoadOfSeveralProcesses(t *testing.T) {
	addrs := startLoadProcess(t, "front-1") + "," + startLoadProcess(t, "front-2")
	run(t, "", "load", "--metrics", addrs, "--interval", "0s").want(t, 0,
		"service desk: 0 open, 6 waiting (0.0 MB), 0 admitted, 0 of them waited, windows allow 4.0/s", "1 guthi 82 0 20 0.24 0 62 0 no_time 62")
	run(t, "", "load", "--metrics", addrs, "--interval", "1ms").want(t, 0, "1 guthi 2 0 0 0.00 0 2 0 no_time 2")
	r := run(t, "", "--output", "json", "load", "--metrics", addrs, "--interval", "0s")
	var load loadview.Load
	if err := json.Unmarshal([]byte(r.out), &load); err != nil || len(load.Services) != 1 || load.Services[0].Waiting != 6 {
		t.Errorf("got %+v, %v", load, err)
	}
}

// Guards against a silent process that hides the load of the others, or that is not noticed.
func TestLoadWithASilentProcess(t *testing.T) {
	silent := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(silent.URL, "http://")
	silent.Close()
	run(t, "", "load", "--metrics", startLoadProcess(t, "front-1")+","+addr, "--interval", "0s").want(t, 1, "1 guthi 41", "peer "+addr)
}

func TestLoadChecksItsFlags(t *testing.T) {
	t.Setenv("MULBERRY_METRICS", "")
	run(t, "", "load").want(t, 2, "metrics")
	run(t, "", "load", "--metrics", "here").want(t, 2, `--metrics: want ip:port, got "here"`)
	run(t, "", "load", "--metrics", "127.0.0.1:1", "--interval", "-1s").want(t, 2, "want 0s or more")
}

// TestLoadShowsThePacesOfEngines shows a pace that is used, one of a former start, one that is too
// old, and that of an engine that is not registered any more.
func TestLoadShowsThePacesOfEngines(t *testing.T) {
	rows, addr := startPlatformStore(t)
	now, _ := rows.Now()
	startedAt := map[string]int64{"10.1.0.1:80": 1000, "10.1.0.2:80": 2000, "10.1.0.3:80": 1000}
	for engine, at := range startedAt {
		row, err := operator.InstanceRow(fleet.Instance{ID: "i-" + engine, Service: "engines", Addr: engine, Zone: "patan", Slots: 8, StartedAt: at, Versions: map[string]uint64{"guide": 1}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		rows.Put(row)
	}
	for engine, r := range map[string]pace.Row{
		"10.1.0.1:80": {Pace: 70, Spread: 4, At: now, StartedAt: 1000}, "10.1.0.2:80": {Pace: 170, At: now, StartedAt: 1000},
		"10.1.0.3:80": {Pace: 100, At: now - time.Hour, StartedAt: 1000}, "10.1.0.4:80": {Pace: 90, At: now, StartedAt: 1000},
	} {
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		rows.Put(store.Row{Key: pace.Key(engine), Value: value})
	}
	front := startLoadProcess(t, "front-1")
	run(t, "", "load", "--metrics", front, "--interval", "0s", "--store", addr).want(t, 0, "ENGINE SERVICE PACE SPREAD AGE IGNORED",
		"10.1.0.1:80 engines 70 4", "10.1.0.2:80 engines 170 0", "of a former start", "10.1.0.3:80 engines 100 0 360", "older than 90 s",
		"10.1.0.4:80 - 90 0", "not registered", "10.1.0.9:80 engines unknown - - -")
	run(t, "", "load", "--metrics", front, "--interval", "0s", "--store", "127.0.0.1:1").want(t, 1, "1 guthi", "read the paces of the engines")
}
