package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulberryscale.example/api"
	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/standin/tableservice"
)

// result is what a command printed and its exit status.
type result struct {
	out, err string
	status   int
}

// run runs mulberryctl in the test's process with the given standard input.
func run(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	cmd := command()
	cmd.Writer = &out
	cmd.Reader = strings.NewReader(stdin)
	status := daemon.Main(cmd, append([]string{"mulberryctl"}, args...), &errs)
	return result{out.String(), errs.String(), status}
}

// collapseSpaces replaces each run of white space by one space, so that column widths do not matter.
func collapseSpaces(text string) string { return strings.Join(strings.Fields(text), " ") }

// want fails the test unless the exit status matches and all texts were printed.
func (r result) want(t *testing.T, status int, texts ...string) {
	t.Helper()
	if r.status != status {
		t.Errorf("exit status %d, want %d", r.status, status)
	}
	for _, text := range texts {
		if !strings.Contains(collapseSpaces(r.out+r.err), collapseSpaces(text)) {
			t.Errorf("%q was not printed", text)
		}
	}
	if t.Failed() {
		t.Fatalf("stdout: %s\nstderr: %s", r.out, r.err)
	}
}

// tableFixture is a table service and a directory for table files.
type tableFixture struct {
	service *tableservice.Service
	url     string
	dir     string
}

func newTableFixture(t *testing.T) *tableFixture {
	service := tableservice.New(tableservice.Options{})
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	t.Setenv("MULBERRY_TABLE_SERVICE", server.URL)
	t.Setenv("MULBERRY_AUTHOR", "ann")
	return &tableFixture{service: service, url: server.URL, dir: t.TempDir()}
}

// file writes a YAML table file of a first line and rows of kind plain, and returns its path.
func (f *tableFixture) file(t *testing.T, name, firstLine string, rows ...string) string {
	t.Helper()
	text := firstLine + "rows:\n"
	for _, r := range rows {
		text += fmt.Sprintf("  - {%s, kind: plain}\n", r)
	}
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheckExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.*")
	if err != nil || len(files) < 4 {
		t.Fatal(files, err)
	}
	run(t, "", append([]string{"check"}, files...)...).want(t, 0, "ok, 5 rows", "ok, 7 rows")
}

func TestCheckNamesEachMistake(t *testing.T) {
	f := newTableFixture(t)
	bad := f.file(t, "bad.yaml", "", "name: A, share: 0", "name: b, scorer: c")
	r := run(t, "", "check", bad)
	r.want(t, 2, "A   name", "A   share", "b   scorer", "1 of 1 files have mistakes")
	if strings.Count(r.err, "\n") != 1 {
		t.Fatalf("stderr is not one line: %q", r.err)
	}
}

func TestWrongUsage(t *testing.T) {
	t.Setenv("MULBERRY_TABLE_SERVICE", "")
	t.Setenv("MULBERRY_TIMEOUT", "")
	for _, args := range [][]string{
		{}, {"rolback", "1"}, {"check"}, {"apply"}, {"apply", "x.csv"}, {"apply", "--table-service", "http://127.0.0.1:1", "none.csv"},
		{"get"}, {"get", "--table-service", "nonsense"}, {"history", "--limit", "0"}, {"diff", "1", "2", "3"},
		{"rollback", "x"}, {"status"}, {"status", "--operators", "localhost:1"}, {"get", "--colour"},
		{"check", "x.toml"}, {"get", "--timeout", "-1s"}, {"get", "--timeout", "soon"}, {"get", "--output", "xml"}, {"keys"}, {"keys", "issue", "--dir", t.TempDir()},
	} {
		r := run(t, "", args...)
		if r.status != 2 || strings.Count(r.err, "\n") != 1 {
			t.Errorf("%v: exit status %d, stdout %q, stderr %q", args, r.status, r.out, r.err)
		}
	}
}

func TestApplyAsksFirst(t *testing.T) {
	f := newTableFixture(t)
	file := f.file(t, "table.yaml", "", "name: a")
	run(t, "n\n", "apply", file).want(t, 1, "+ a: kind=plain", "declined")
	run(t, "", "history").want(t, 0, "VERSION")
	run(t, "y\n", "apply", file).want(t, 0, "applied: version 1")
}

// TestGetEditApply runs an operator's workflow: get, edit, apply, roll back, read old versions.
func TestGetEditApply(t *testing.T) {
	f := newTableFixture(t)
	run(t, "", "apply", "--yes", f.file(t, "first.yaml", "", "name: a")).want(t, 0)
	got := run(t, "", "get")
	got.want(t, 0, baseLinePrefix+"1\n")

	edited := filepath.Join(f.dir, "edited.yaml")
	text := strings.Replace(got.out, "name: a", "name: a, share: 3", 1)
	if err := os.WriteFile(edited, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	run(t, "", "diff", edited).want(t, 0, `~ a.share: "1" -> "3"`)
	run(t, "", "apply", "--yes", edited).want(t, 0, "applied: version 2")
	run(t, "", "apply", "--yes", edited).want(t, 0, "no difference: version 2")
	now, err := os.ReadFile(edited)
	if err != nil || !strings.HasPrefix(string(now), baseLinePrefix+"2\nrows:") {
		t.Fatalf("%q, %v", now, err)
	}
	run(t, "", "rollback", "--yes", "1").want(t, 0, "rolled back: version 3", `~ a.share: "3" -> "1"`)
	run(t, "", "diff", "1", "3").want(t, 0)
	run(t, "", "get", "--version", "2", "--format", "csv").want(t, 0, baseLinePrefix+"2\n", "a,plain,,3,")
	var versions []versionResult
	r := run(t, "", "history", "--output", "json")
	if err := json.Unmarshal([]byte(r.out), &versions); err != nil || len(versions) != 3 || versions[0].RollbackOf != 1 {
		t.Fatalf("%s, %v", r.out, err)
	}
}

// TestSecondOperatorIsRefused checks that, of two edits based on the same version, the
// second is refused with the difference of both, so that the first is not overwritten.
func TestSecondOperatorIsRefused(t *testing.T) {
	f := newTableFixture(t)
	run(t, "", "apply", "--yes", f.file(t, "first.yaml", "", "name: a")).want(t, 0)
	ann := f.file(t, "ann.yaml", baseLinePrefix+"1\n", "name: a, share: 2")
	bob := f.file(t, "bob.yaml", baseLinePrefix+"1\n", "name: a, share: 3", "name: b")
	run(t, "", "apply", "--yes", ann).want(t, 0, "applied: version 2")
	run(t, "", "apply", "--yes", "--author", "bob", bob).want(t, 1,
		"mine    ~ a.share", "mine    + b", "theirs  ~ a.share", "both    ! a.share", `version 2 by "ann" came first`)
	run(t, "", "get").want(t, 0, "share: 2")
	noBase := f.file(t, "nobase.yaml", "", "name: c")
	run(t, "", "apply", "--yes", noBase).want(t, 2, "give --base (the current one is 2)")
}

// TestRepeatAfterLostReply checks that a repeated command does not apply the edit twice.
func TestRepeatAfterLostReply(t *testing.T) {
	f := newTableFixture(t)
	file := f.file(t, "first.yaml", "", "name: a")
	run(t, "", "apply", "--yes", "--base", "0", file).want(t, 0, "version 1")
	f.service.LoseNextReplies(1)
	second := f.file(t, "second.yaml", "", "name: b")
	run(t, "", "apply", "--yes", "--base", "1", second).want(t, 0, "version 2")
	run(t, "", "apply", "--yes", "--base", "1", second).want(t, 0, "version 2")
	run(t, "", "apply", "--yes", "--base", "0", file).want(t, 0, "version 1")
}

func TestOutageErrorIsOneLine(t *testing.T) {
	f := newTableFixture(t)
	f.service.Outage(true)
	r := run(t, "", "apply", "--yes", f.file(t, "table.yaml", "", "name: a"))
	r.want(t, 1, "step table", "peer")
	if strings.Count(r.err, "\n") != 1 {
		t.Fatalf("stderr is not one line: %q", r.err)
	}
}

// startOperatorListener serves status and drain like a process and returns its address.
func startOperatorListener(t *testing.T, statuses []api.ProcessStatus) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(statuses)
	})
	mux.HandleFunc("POST "+daemon.PathDrain, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestStatusAndDrain(t *testing.T) {
	f := newTableFixture(t)
	for i, share := range []string{"1", "2"} {
		file := f.file(t, "table.yaml", fmt.Sprintf("%s%d\n", baseLinePrefix, i), "name: a, share: "+share)
		run(t, "", "apply", "--yes", file).want(t, 0)
	}
	one := startOperatorListener(t, []api.ProcessStatus{
		{ID: "entry-1", Role: "entry", TableVersion: 2},
		{ID: "agent-1", Role: "agent", TableVersion: 1, SeenSeconds: 9, AgeSeconds: api.UnknownAge},
		{ID: "agent-2", Role: "agent", TableVersion: 1, SeenSeconds: 1, AgeSeconds: api.UnknownAge},
	})
	two := startOperatorListener(t, []api.ProcessStatus{
		{ID: "entry-2", Role: "entry", TableVersion: 2},
		{ID: "agent-1", Role: "agent", TableVersion: 2, SeenSeconds: 3},
	})
	r := run(t, "", "status", "--operators", one+","+two, "--output", "json")
	var status fleetStatus
	if err := json.Unmarshal([]byte(r.out), &status); err != nil || r.status != 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	if status.Newest != 2 || status.Lagging != 1 || len(status.Processes) != 4 || !status.Processes[3].Lags {
		t.Fatalf("%+v", status)
	}
	run(t, "", "status", "--operators", one, "--wait", "1ms").want(t, 1, "lag behind version 2")
	run(t, "", "status", "--operators", two+",127.0.0.1:1").want(t, 1, "entry-2", "127.0.0.1:1")
	run(t, "", "drain", "--operators", one+","+two).want(t, 1, "401")
	t.Setenv("MULBERRY_ADMIN_TOKEN", "secret")
	run(t, "", "drain", "--operators", one+","+two).want(t, 0, "draining: 2 processes")
}

func TestKeys(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	run(t, "", "keys", "issue", "--dir", dir, "entry-1").want(t, 1, "ca.pem")
	run(t, "", "keys", "authority", "--dir", dir).want(t, 0, "ca.pem", "ca.key")
	run(t, "", "keys", "authority", "--dir", dir).want(t, 1, "never replaced")
	run(t, "", "keys", "issue", "--dir", dir, "entry-1", "agent-1").want(t, 0, "agent-1.key")
	run(t, "", "keys", "issue", "--dir", dir, "ca").want(t, 2)
	info, err := os.Stat(filepath.Join(dir, "entry-1.key"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatal(info, err)
	}
}
