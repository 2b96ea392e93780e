package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout is how long a test waits for a condition before it fails. It is far
// longer than any condition takes, so that no test fails because the machine is busy.
const waitTimeout = 30 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// process is a program of the deployment that runs as a separate process. It can be
// stopped and started again with the same command line.
type process struct {
	t    *testing.T
	name string
	args []string // the first is the program's name

	cmd    *exec.Cmd
	log    *lockedBuffer
	exited chan struct{} // closed when the running process has exited
}

// lockedBuffer collects a process's output. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: append([]string{program}, args...), log: &lockedBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

// tail returns the last bytes of a long output.
func tail(s string) string {
	const most = 4 << 10
	if len(s) <= most {
		return s
	}
	return "...\n" + s[len(s)-most:]
}

// start starts the process, or starts it again after it has exited.
func (p *process) start() {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, p.args[0]), p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait() // the exit status is read from cmd.ProcessState
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("%s: signal %v: %v", p.name, s, err)
	}
}

// pause stops the process with SIGSTOP and waits until none of its threads
// runs; SIGCONT lets it go on.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, p.name+" is paused", p.paused)
}

// paused returns nil if the kernel reports every thread as stopped.
func (p *process) paused() error {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return fmt.Errorf("no threads: %v", err)
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return err
		}
		// The state follows the program's name, which stands in brackets.
		if _, state, _ := bytes.Cut(stat, []byte(") ")); !bytes.HasPrefix(state, []byte("T")) {
			return fmt.Errorf("a thread is not stopped: %s", state[:1])
		}
	}
	return nil
}

// kill terminates the process with SIGKILL and waits for its exit. It does nothing if the
// process has exited.
func (p *process) kill() {
	p.cmd.Process.Kill() // fails only if it has exited
	<-p.exited
}

// exitReport describes an unexpected exit of the process, with its last output.
func (p *process) exitReport() string {
	<-p.exited
	return fmt.Sprintf("%s, after\n%s", p.cmd.ProcessState, tail(p.log.String()))
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM and waits until the process has exited. It returns an error if the
// status is not 0.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("%s: SIGTERM: %w", p.name, err)
	}
	return p.awaitExit()
}

// awaitExit waits until the process has exited after SIGTERM. It returns an error if the
// status is not 0.
func (p *process) awaitExit() error {
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s did not exit after SIGTERM", p.name)
	}
	if status := p.cmd.ProcessState.ExitCode(); status != 0 {
		return fmt.Errorf("%s exited with status %d after SIGTERM", p.name, status)
	}
	return nil
}

// eventually waits until condition returns nil.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	if err := poll(condition); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// poll waits until condition returns nil, for at most waitTimeout, and returns its last error.
func poll(condition func() error) error {
	end := time.Now().Add(waitTimeout)
	for {
		err := condition()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Ports below the range of ephemeral ports, so that a process can be started again
// on the same port. Each test run reserves one block of them.
const (
	firstPort  = 20000
	blockPorts = 800
	blocks     = 15
)

// portBlock is the block of this test run. The listener on its first port reserves
// it against other runs.
type portBlock struct {
	lock net.Listener
	base int

	mu   sync.Mutex
	next int
}

var takeBlock = sync.OnceValues(func() (*portBlock, error) {
	for i := range blocks {
		base := firstPort + i*blockPorts
		lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err == nil {
			return &portBlock{lock: lock, base: base}, nil
		}
	}
	return nil, errors.New("every block of ports is taken")
})

// freeAddr returns a loopback address whose port is free for TCP and UDP.
func freeAddr(t *testing.T) string {
	t.Helper()
	block, err := takeBlock()
	if err != nil {
		t.Fatal(err)
	}
	block.mu.Lock()
	defer block.mu.Unlock()
	for range blockPorts {
		block.next = block.next%(blockPorts-1) + 1
		addr := fmt.Sprintf("127.0.0.1:%d", block.base+block.next)
		if isFree(addr) {
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(addr string) bool {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}
