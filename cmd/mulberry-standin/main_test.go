package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"mulberryscale.example/daemon"
	"mulberryscale.example/internal/standin/plain"
)

// A graceful stop waits for a call in progress.
func TestServeAndGracefulStop(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	out, in := io.Pipe()
	p := rootCommand()
	p.Writer = in
	done := make(chan error, 1)
	go func() {
		done <- p.Run(ctx, []string{"mulberry-standin", "service", "--delay", "200ms"})
	}()
	line, err := bufio.NewReader(out).ReadString('\n')
	addr, found := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if err != nil || !found {
		t.Fatalf("first line %q, %v", line, err)
	}
	callDone := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+addr+"/x", "text/plain", strings.NewReader("a"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		callDone <- err
	}()
	awaitExecution(t, addr)
	stop()
	if err := <-callDone; err != nil {
		t.Fatalf("the call in progress was interrupted: %v", err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// awaitExecution waits until the stand-in has started a call.
func awaitExecution(t *testing.T, addr string) {
	for {
		resp, err := http.Get("http://" + addr + "/records")
		if err != nil {
			t.Fatal(err)
		}
		var records []plain.Record
		err = json.NewDecoder(resp.Body).Decode(&records)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if len(records) > 0 {
			return
		}
	}
}

func TestBadCommandLines(t *testing.T) {
	for _, line := range []string{
		"engine --listen localhost:80", "engine --slots -1", "engine --model guide", "engine --delay 1s", "table extra", "nothing",
	} {
		p := rootCommand()
		p.Writer = io.Discard
		var stderr strings.Builder
		status := daemon.Main(p, append([]string{"mulberry-standin"}, strings.Fields(line)...), &stderr)
		if status != daemon.ExitUsage || strings.Count(stderr.String(), "\n") != 1 {
			t.Errorf("%q: status %d, stderr %q", line, status, stderr.String())
		}
	}
}
