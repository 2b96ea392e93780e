package main

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/batch"
	"mulberryscale.example/duty"
	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/platform/metastore/standin"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/scaling"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
	"mulberryscale.example/usage"
)

// startPlatformStore serves a store that has a configuration, an engine and two jobs.
func startPlatformStore(t *testing.T) (rows *rowstore.Store, addr string) {
	t.Helper()
	rows = rowstore.New()
	put := func(row store.Row, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		rows.Put(row)
	}
	put(operator.ConfigRow(&fleet.Config{Version: 7, Organisations: []fleet.Organisation{{Name: "guthi", Priority: 2, Keys: []fleet.APIKey{"secret-1", "secret-2"}}}, Routes: []fleet.Route{{
		Name: "look", Host: "a.example", Prefix: "/look/", Kind: fleet.KindSafe, Timeout: 2500 * time.Millisecond,
		Backends: []fleet.Backend{{Service: "desk", Weight: 1}},
	}}}))
	put(operator.NamedVersionRow("guide", 3))
	put(operator.NamedVersionRow("meter", 3))
	put(operator.InstanceRow(fleet.Instance{
		ID: "i-1", Service: "engines", Addr: "10.1.0.9:80", Zone: "patan", Slots: 8, Versions: map[string]uint64{"guide": 2, "meter": 3},
	}, 1))
	ledger := &batch.Ledger{Store: rows, RowBytes: 65536, ObjectBytes: 1 << 20}
	open := batch.ScopedID("guthi", "job-open")
	for id, organisation := range map[string]string{"job-ended": "", open: "guthi"} {
		job := &batch.Job{ID: id, Organisation: organisation, Route: "train", Model: "guide", Step: 4, MinVersion: 3, Items: 2, ItemTTL: time.Minute, Owners: []string{"10.1.0.9:80"}}
		items := []batch.Item{{ID: "a", Path: "/a"}, {ID: "b", Path: "/b"}}
		if err := ledger.Submit(t.Context(), job, items); err != nil {
			t.Fatal(err)
		}
	}
	if err := ledger.Append(t.Context(), open, "1", []batch.Result{{ID: "a", State: batch.StateFailed}}); err != nil {
		t.Fatal(err)
	}
	if err := ledger.End(t.Context(), "job-ended"); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(standin.New(rows))
	t.Cleanup(server.Close)
	return rows, strings.TrimPrefix(server.URL, "http://")
}

func TestShowsStoreContents(t *testing.T) {
	_, addr := startPlatformStore(t)
	if open := run(t, "", "jobs", "--store", addr); open.status != 0 || strings.Contains(open.out, "job-ended") || !strings.Contains(open.out, "job-open") {
		t.Errorf("open jobs: %+v", open)
	}
	run(t, "", "jobs", "--all", "--store", addr).want(t, 0, "ID ORGANISATION ROUTE MODEL STEP MIN VERSION AGE LISTED FAILED STATE OWNERS job-open guthi train guide 4 3", "1/2 1 open 1", "job-ended - train", "0/2 0 ended 1")
	run(t, "", "engines", "--store", addr).want(t, 0, "i-1 engines 10.1.0.9:80 patan 8 ready guide=2,meter=3 guide")
	config := run(t, "", "config", "--store", addr)
	config.want(t, 0, "look a.example /look/ safe desk 2.5s", "organisation guthi, priority 2, keys: 2", "configuration 7, weights guide=3,meter=3")
	asJSON := run(t, "", "--output", "json", "config", "--store", addr)
	if strings.Contains(config.out+asJSON.out, "secret") || !strings.Contains(asJSON.out, "guthi") {
		t.Errorf("want the organisations without their keys, got %s and %s", config.out, asJSON.out)
	}
}

// TestShowsWhoHoldsADuty shows a duty that is done, one whose holder may still act,
// and one whose term has expired.
func TestShowsWhoHoldsADuty(t *testing.T) {
	rows, addr := startPlatformStore(t)
	now, _ := rows.Now()
	encode := func(work any) []byte {
		value, err := codec.Marshal(work)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	report := encode(usage.Report{Window: 12, Counts: usage.Counts{"guthi": 5, "trust": 2}})
	order := encode(scaling.Order{Endpoints: 6})
	scaleSubject := scaling.Subject(scaling.Target{Service: "desk", Zone: "z"})
	for name, term := range map[string]duty.Term{
		"a":          {Fence: duty.Fence{Holder: "side-1", Token: 7}, Machine: "10.1.0.9", Began: now, Piece: 12, Done: true, Work: report},
		"b":          {Fence: duty.Fence{Holder: "side-2", Token: 8}, Machine: "10.1.0.8", Began: now + time.Minute, Piece: 13, Work: report},
		scaleSubject: {Fence: duty.Fence{Holder: "side-3", Token: 9}, Machine: "10.1.0.7", Began: now - time.Minute, Piece: 14, Work: order},
	} {
		value, err := codec.Marshal(term)
		if err != nil {
			t.Fatal(err)
		}
		rows.Put(store.Row{Key: store.Key{Table: duty.Table, Name: name}, Value: value})
	}
	run(t, "", "duties", "--store", addr).want(t, 0, "a side-1 10.1.0.9 7", "12 done 7 requests of 2 organisations", "b side-2", "13 acting", "scale/desk/z side-3", "14 open 6 endpoints")
	rows.Put(store.Row{Key: store.Key{Table: duty.Table, Name: "odd"}, Value: []byte("{")})
	run(t, "", "duties", "--store", addr).want(t, 1, "duty odd")
}

// TestShowsAndReleasesTheQuarantine shows a quarantined and a suspect content and
// releases the quarantined one.
func TestShowsAndReleasesTheQuarantine(t *testing.T) {
	rows, addr := startPlatformStore(t)
	at, err := codec.Marshal(map[string]time.Duration{"At": 0})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"aa/end/0/i-1", "aa/end/0/i-2", "aa/trial/0", "ab/end/0/i-2"} {
		rows.Put(store.Row{Key: store.Key{Table: quarantine.Table, Name: name}, Value: at})
	}
	run(t, "", "quarantine", "--store", addr).want(t, 0, "aa i-1,i-2 1", "held", "ab i-2 0", "suspect")
	released := run(t, "", "quarantine", "--store", addr, "--release", "aa")
	if released.status != 0 || strings.Contains(released.out, "aa ") || !strings.Contains(released.out, "ab ") {
		t.Errorf("after the release of one: %+v", released)
	}
	run(t, "", "quarantine", "--store", addr, "--release", "aa").want(t, 1, "no endpoint has ended under content")
	rows.Put(store.Row{Key: store.Key{Table: quarantine.Table, Name: "odd"}, Value: []byte("{")})
	run(t, "", "quarantine", "--store", addr).want(t, 1, "row odd")
}

// TestReleasesAllRowsOfTheQuarantine guards against a release that removes only as many rows as fit
// into one transaction and still reports success.
func TestReleasesAllRowsOfTheQuarantine(t *testing.T) {
	rows, addr := startPlatformStore(t)
	at, err := codec.Marshal(map[string]time.Duration{"At": 0})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 250 {
		rows.Put(store.Row{Key: store.Key{Table: quarantine.Table, Name: fmt.Sprintf("aa/end/0/i-%03d", i)}, Value: at})
	}
	released := run(t, "", "quarantine", "--store", addr, "--release", "aa")
	if released.status != 0 || strings.Contains(released.out, "aa ") {
		t.Errorf("rows are left: %.200s", released.out)
	}
}

func TestStoreViewsAsJSON(t *testing.T) {
	_, addr := startPlatformStore(t)
	r := run(t, "", "--output", "json", "jobs", "--all", "--store", addr)
	var jobs []jobLine
	if err := json.Unmarshal([]byte(r.out), &jobs); err != nil {
		t.Fatalf("%v in %q", err, r.out)
	}
	if len(jobs) != 2 || jobs[0].ID != "job-open" || jobs[0].Failed != 1 || jobs[1].State != jobEnded {
		t.Errorf("got %+v", jobs)
	}
}

func TestStoreViewsReportErrors(t *testing.T) {
	rows, addr := startPlatformStore(t)
	run(t, "", "jobs", "--store", "here").want(t, 2, `--store or MULBERRY_STORE: want ip:port, got "here"`)
	rows.Put(store.Row{Key: store.Key{Table: batch.TableJobs, Name: "job-odd"}, Value: []byte("not a job")})
	run(t, "", "jobs", "--store", addr).want(t, 1, "job job-odd")
	broken, err := operator.ConfigRow(&fleet.Config{})
	if err != nil {
		t.Fatal(err)
	}
	broken.Value = []byte("{")
	rows.Put(broken)
	run(t, "", "config", "--store", addr).want(t, 1, "decode the configuration")
}

// TestProfileOfLogs reads the logs of one step from standard input.
func TestProfileOfLogs(t *testing.T) {
	const logs = `{"time":"2026-08-13T09:00:44.00Z","msg":"job accepted","process":"front-1","job":"j1","model":"m","step":4,"items":1}
{"time":"2026-08-13T09:00:44.01Z","msg":"job seen","process":"side-1","job":"j1"}
{"time":"2026-08-13T09:00:44.02Z","msg":"item sent","process":"side-1","job":"j1","item":"i1","events":0}
{"time":"2026-08-13T09:00:46.02Z","msg":"item done","process":"side-1","job":"j1","item":"i1","events":40}
{"time":"2026-08-13T09:00:46.50Z","msg":"job's end","process":"front-2","job":"j1"}
`
	run(t, logs, "profile").want(t, 0, "j1 m 4 1 2.500s i1 40 1", "floor 2.000s 2.000s 80.0%")
	run(t, "{}", "profile").want(t, 1, "no step whose acceptance and end are in the logs")
}
