package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
	"mulberryscale.example/wire"
)

// build makes the named commands in a directory of the test.
func build(t *testing.T, names ...string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for _, name := range names {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "mulberryscale.example/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, out)
		}
	}
	return dir
}

// start runs a process until the end of the test.
func start(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
}

// startEngine runs the stand-in engine and returns its address.
func startEngine(t *testing.T, dir string) string {
	t.Helper()
	cmd := exec.Command(filepath.Join(dir, "mulberry-standin"), "engine", "--model", "guide=3", "--token-time", "20ms")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	start(t, cmd)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(strings.TrimPrefix(line, "listening "))
}

// freeAddr is a UDP address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// issueKeys writes the agent's keys to dir and returns an entry's.
func issueKeys(t *testing.T, dir string) keys.Source {
	t.Helper()
	authority, err := keys.NewDevAuthority()
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue("agent-1")
	if err != nil {
		t.Fatal(err)
	}
	if err := keys.WritePair(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), pair); err != nil {
		t.Fatal(err)
	}
	if err := keys.WriteCertificates(filepath.Join(dir, "ca.pem"), authority.CertPEM()); err != nil {
		t.Fatal(err)
	}
	source, err := authority.Source("entry-1")
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// openRun sends a run as soon as the agent is healthy and returns its stream
// once the first chunk is there.
func openRun(t *testing.T, dialer transport.Dialer, addr string) transport.Stream {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		s, err := dialer.Open(ctx, addr)
		if err != nil {
			continue // it is starting
		}
		run := &wire.Run{RunID: "r", Row: "web", Budget: time.Minute,
			Generate: &wire.Generate{Model: "guide", Prompt: "p", MaxTokens: 400}}
		var reply wire.Reply
		if s.Send(&wire.Request{Run: run}) == nil && s.Recv(&reply) == nil && reply.Chunk != nil {
			return s
		}
		s.Close()
	}
	t.Fatal("the agent did not serve in time")
	return nil
}

// TestSIGTERMCutsNothingOff stops the agent in the middle of a stream.
func TestSIGTERMCutsNothingOff(t *testing.T) {
	dir := build(t, "mulberry-agent", "mulberry-standin")
	source := issueKeys(t, dir)
	addr := freeAddr(t)
	cmd := exec.Command(filepath.Join(dir, "mulberry-agent"), "--id", "agent-1", "--zone", "patan", "--listen", addr,
		"--engine", "http://"+startEngine(t, dir), "--ca", filepath.Join(dir, "ca.pem"),
		"--cert", filepath.Join(dir, "cert.pem"), "--key", filepath.Join(dir, "key.pem"))
	start(t, cmd)
	dialer := quictransport.NewDialer(source)
	defer dialer.Close()
	s := openRun(t, dialer, addr)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for {
		var reply wire.Reply
		if err := s.Recv(&reply); err != nil {
			t.Fatalf("the stream was cut off: %v", err)
		}
		if reply.Done != nil {
			if reply.Done.Text == "" || reply.Done.FinishReason == "" {
				t.Fatalf("got %+v", reply.Done)
			}
			break
		}
		if reply.Refusal != nil {
			t.Fatal(reply.Refusal)
		}
	}
	s.Close()
	if err := cmd.Wait(); err != nil {
		t.Fatalf("the agent ended with %v", err)
	}
}

// A stop tells the peers at once, so that none waits for its idle timeout
// before it looks for the next incarnation.
func TestStopClosesConnections(t *testing.T) {
	dir := build(t, "mulberry-agent", "mulberry-standin")
	source := issueKeys(t, dir)
	addr := freeAddr(t)
	cmd := exec.Command(filepath.Join(dir, "mulberry-agent"), "--id", "agent-1", "--zone", "patan", "--listen", addr,
		"--engine", "http://"+startEngine(t, dir), "--ca", filepath.Join(dir, "ca.pem"),
		"--cert", filepath.Join(dir, "cert.pem"), "--key", filepath.Join(dir, "key.pem"))
	start(t, cmd)
	dialer := quictransport.NewDialer(source)
	defer dialer.Close()
	openRun(t, dialer, addr).Close()
	conn := openConnection(t, source, addr)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-conn.Context().Done()
	var closed *quic.ApplicationError
	if cause := context.Cause(conn.Context()); !errors.As(cause, &closed) {
		t.Fatalf("the connection ended with %v, want a close by the agent", cause)
	}
}

// openConnection returns a connection that the agent has begun to serve.
func openConnection(t *testing.T, source keys.Source, addr string) *quic.Conn {
	t.Helper()
	conn, err := quic.DialAddr(t.Context(), addr, source.ClientConfig(), &quic.Config{KeepAlivePeriod: quictransport.KeepAlive})
	if err != nil {
		t.Fatal(err)
	}
	s, err := conn.OpenStreamSync(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	// The stream without a request is ended by the agent.
	_, _ = io.ReadAll(s)
	return conn
}
