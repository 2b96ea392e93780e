package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/urfave/cli/v3"

	"mulberryscale.example/api"
	"mulberryscale.example/observe"
	"mulberryscale.example/settings"
)

// testRun is the run of a program whose Drain waits for work; it records events.
type testRun struct {
	signals chan os.Signal
	work    chan struct{} // closed when the requests in flight are done
	events  []string
	done    chan error
}

func startTestRun(change func(*Program)) *testRun {
	tr := &testRun{signals: make(chan os.Signal, 2), work: make(chan struct{}), done: make(chan error, 1)}
	p := Program{
		Name:         "test",
		Log:          observe.Discard(),
		DrainTimeout: time.Minute,
		Serve: func(ctx context.Context) error {
			<-ctx.Done()
			tr.events = append(tr.events, "stopped")
			return nil
		},
		Drain: func(ctx context.Context) error {
			select {
			case <-tr.work:
				tr.events = append(tr.events, "drained")
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		},
	}
	if change != nil {
		change(&p)
	}
	go func() { tr.done <- run(context.Background(), p, tr.signals) }()
	return tr
}

func TestFirstSignalDrainsBeforeServeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTestRun(nil)
		tr.signals <- syscall.SIGTERM
		time.Sleep(30 * time.Second)
		if len(tr.events) > 0 {
			t.Fatalf("with requests in flight: %v", tr.events)
		}
		close(tr.work)
		if err := <-tr.done; err != nil || fmt.Sprint(tr.events) != "[drained stopped]" {
			t.Fatalf("got %v, %v", tr.events, err)
		}
	})
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTestRun(nil)
		start := time.Now()
		tr.signals <- syscall.SIGTERM
		tr.signals <- syscall.SIGINT
		err := <-tr.done
		if !errors.Is(err, ErrStoppedAtOnce) || ExitStatus(err) != ExitFailed || time.Since(start) != 0 {
			t.Fatalf("got %v after %v", err, time.Since(start))
		}
	})
}

func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTestRun(func(p *Program) { p.UnreadyDelay = time.Second })
		start := time.Now()
		tr.signals <- syscall.SIGTERM
		if err := <-tr.done; !errors.Is(err, ErrDrainTimeout) || time.Since(start) != 61*time.Second {
			t.Fatalf("got %v after %v", err, time.Since(start))
		}
	})
}

func TestServeErrorStopsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := errors.New("broken")
		tr := startTestRun(func(p *Program) { p.Serve = func(context.Context) error { return broken } })
		if err := <-tr.done; !errors.Is(err, broken) {
			t.Fatalf("got %v", err)
		}
	})
}

func call(h http.Handler, method, path, token string) (status int, body string) {
	req := httptest.NewRequest(method, path, nil)
	if token != "" {
		req.Header.Set("Authorization", bearer+token)
	}
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, req)
	return recorder.Code, recorder.Body.String()
}

func TestOperatorsRoutes(t *testing.T) {
	counters := observe.NewCounters()
	ready := false
	r := &runner{drainRequested: make(chan struct{}, 1), Program: Program{
		Name: "entry-1", Counters: counters, AdminToken: "secret",
		Ready:  func() bool { return ready },
		Routes: []Route{{Pattern: "GET /status", Handler: http.NotFoundHandler()}},
	}}
	h := r.adminHandler()
	steps := []struct {
		method, path, token string
		want                int
	}{
		{"GET", api.PathReady, "", 503},
		{"GET", api.PathLive, "", 200},
		{"GET", PathVars, "", 200},
		{"GET", "/status", "", 401},
		{"GET", "/status", "secret", 404},
		{"POST", PathDrain, "", 401},
		{"POST", PathDrain, "wrong", 401},
		{"GET", PathDrain, "secret", 405},
	}
	for _, s := range steps {
		if got, _ := call(h, s.method, s.path, s.token); got != s.want {
			t.Errorf("%s %s with token %q: got %d, want %d", s.method, s.path, s.token, got, s.want)
		}
	}
	if n := counters.Refusals("", api.CodeUnauthorized); n != 3 {
		t.Errorf("%d refusals counted, want 3", n)
	}
	ready = true
	if got, _ := call(h, "GET", api.PathReady, ""); got != 200 {
		t.Errorf("ready: got %d", got)
	}
	for range 2 {
		if got, _ := call(h, "POST", PathDrain, "secret"); got != 202 {
			t.Errorf("drain: got %d", got)
		}
	}
	if got, body := call(h, "GET", api.PathReady, ""); got != 503 || body != "draining\n" {
		t.Errorf("draining: got %d %s", got, body)
	}
	if len(r.drainRequested) != 1 {
		t.Error("want one requested drain")
	}
}

func TestEmptyTokenNeverMatches(t *testing.T) {
	if SameToken("", "") || SameToken("a", "") || SameToken("", "a") || !SameToken("a", "a") {
		t.Fatal("SameToken")
	}
}

func newTestCommand(out *bytes.Buffer, ran *bool) *cli.Command {
	set := settings.NewSet("mulberry-test")
	set.Int("count", 1, 0, 10, "a number")
	set.Secret("token", "a secret")
	cmd := NewCommand(CommandOptions{Usage: "test", Examples: "  mulberry-test --count 2", Settings: set,
		Run: func(context.Context) error {
			*ran = true
			return errors.New("step x,\n peer y")
		}})
	cmd.Writer = out
	return cmd
}

func TestExitStatusesAndOutput(t *testing.T) {
	tests := []struct {
		args   string
		status int
		stderr string // part of it
		stdout string // part of it
		ran    bool
	}{
		{"", ExitFailed, "mulberry-test: step x, peer y\n", "", true},
		{"--count 11", ExitUsage, `"11": want a whole number from 0 to 10`, "", false},
		{"--nothing", ExitUsage, "nothing", "", false},
		{"extra", ExitUsage, `unexpected argument "extra"`, "", false},
		{"--print-settings --token abc", ExitOK, "", "token  (hidden)  flag", false},
		{"version", ExitOK, "", "mulberry-test ", false},
		{"--help", ExitOK, "", "[$MULBERRY_COUNT]", false},
		{"completion bash", ExitOK, "", "mulberry-test", false},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			ran := false
			cmd := newTestCommand(&stdout, &ran)
			status := Main(cmd, append([]string{"mulberry-test"}, strings.Fields(tt.args)...), &stderr)
			if status != tt.status || ran != tt.ran {
				t.Errorf("status %d, ran %v", status, ran)
			}
			if !strings.Contains(stderr.String(), tt.stderr) || strings.Count(stderr.String(), "\n") > 1 {
				t.Errorf("stderr: %q", stderr.String())
			}
			if !strings.Contains(stdout.String(), tt.stdout) || strings.Contains(stdout.String(), "abc") {
				t.Errorf("stdout: %q", stdout.String())
			}
		})
	}
}

func TestOutputFormats(t *testing.T) {
	table := Table{Header: []string{"ROW", "VERSION"}, Rows: [][]string{{"guide", "3"}}}
	value := map[string]int{"guide": 3}
	for output, want := range map[Output]string{
		OutputTable: "ROW    VERSION\nguide  3\n",
		OutputJSON:  "{\"guide\":3}\n",
	} {
		var got bytes.Buffer
		if err := output.Write(&got, table, value); err != nil || got.String() != want {
			t.Errorf("%s: got %q, %v", output, got.String(), err)
		}
	}
}
