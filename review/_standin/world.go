// Command standin runs the scenarios of the review: it starts the project's own programs as
// separate processes on loopback addresses, and stands in for clients, engines, the store and
// the operator. It exits with 1 if the scenario's rule was broken, 0 if it held and 2 if the
// scenario could not run.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/platform/metastore/standin"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
)

// Sizes and times of the deployment, those of the small site files.
const (
	host          = "ficu95.example"
	rowBytes      = 65536
	objectBytes   = 8388608
	graceTime     = 8 * time.Second
	statusTime    = 120 * time.Second
	heartbeatTime = 1200 * time.Millisecond
	metricsPort   = 9911
)

// failure ends the scenario with exit code 2.
type failure struct{ err error }

func fail(format string, args ...any) { panic(failure{fmt.Errorf(format, args...)}) }

// world is one deployment.
type world struct {
	dir   string // temporary folder
	net   string // first three octets of its addresses
	ports [portCount]int
	store *rowstore.Store
	// storeHandler serves the store; a scenario may wrap it.
	storeHandler http.Handler
	config       *fleet.Config
	// onItem, if set, is called for each item that reaches a model engine.
	onItem func(e *modelEngine, r *http.Request)

	recordMu sync.Mutex
	record   *os.File
	began    time.Time

	mu        sync.Mutex
	processes []*process
	closers   []func()
}

// Indexes of world.ports.
const (
	portFront = iota
	portReady
	portStore
	portEngine
	portPeers
	portPeersLast
	portCount
)

func newWorld(recordPath string) *world {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fail("%w", err)
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: rowstore.New()}
	w.storeHandler = standin.New(w.store)
	w.choosePorts()
	return w
}

// choosePorts chooses a block of loopback addresses and ports that are free there.
func (w *world) choosePorts() {
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		first := 20000 + rand.IntN(9000)
		free := true
		for i := range w.ports {
			w.ports[i] = first + i
			l, err := net.Listen("tcp", w.addr(1, i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return
		}
	}
	fail("no free ports")
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net, n) }

// addr returns the address of a port on a machine.
func (w *world) addr(machine, port int) string {
	return net.JoinHostPort(w.ip(machine), fmt.Sprint(w.ports[port]))
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%9.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// startStore serves the store on machine 1.
func (w *world) startStore() {
	w.serve(w.addr(1, portStore), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.storeHandler.ServeHTTP(rw, r) }))
}

func (w *world) serve(addr string, h http.Handler) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fail("%w", err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	w.onClose(func() { server.Close() })
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// configure writes the operator's configuration.
func (w *world) configure(c *fleet.Config) {
	row, err := operator.ConfigRow(c)
	if err != nil {
		fail("%w", err)
	}
	w.config = c
	w.store.Put(row)
	w.note("operator: configuration %d", c.Version)
}

// register writes an engine's entry at each heartbeat until stop is closed.
func (w *world) register(i fleet.Instance, stop <-chan struct{}) {
	put := func(n uint64) {
		row, err := operator.InstanceRow(i, n)
		if err != nil {
			fail("%w", err)
		}
		w.store.Put(row)
	}
	put(1)
	go func() {
		for n := uint64(2); ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatTime):
				put(n)
			}
		}
	}()
}

// process is one of the project's own processes.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// settings returns the settings of a process on a machine.
func (w *world) settings(name string, machine int) *nodefile.Settings {
	return &nodefile.Settings{
		Node: name, Zone: "hall-a", IP: w.ip(machine), Zones: []string{"hall-a"},
		PeerPort: w.ports[portPeers], MetricsPort: w.ports[portPeersLast],
		Store: w.addr(1, portStore), RowBytes: rowBytes, ObjectBytes: objectBytes, StoreWrites: 800,
		Grace: graceTime, DrainTime: 2 * time.Second, ConfigTime: 2 * time.Second, Lease: 3 * time.Second, KeepResults: statusTime,
	}
}

// startEntry starts an entry with the command of the deploy file.
func (w *world) startEntry(name string, machine int) *process {
	s := w.settings(name, machine)
	s.Clients, s.Ready = w.addr(machine, portFront), w.addr(machine, portReady)
	return w.start(s, "entry")
}

// startAgent starts the agent beside the engine on its machine.
func (w *world) startAgent(name string, machine int, service string) *process {
	s := w.settings(name, machine)
	s.Engine, s.Service = w.addr(machine, portEngine), service
	return w.start(s, "agent")
}

func (w *world) start(s *nodefile.Settings, role string) *process {
	text, err := nodefile.Encode(s)
	if err != nil {
		fail("%w", err)
	}
	path := filepath.Join(w.dir, s.Node+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fail("%w", err)
	}
	p := &process{name: s.Node, done: make(chan struct{}), log: filepath.Join(w.dir, s.Node+".log")}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%w", err)
	}
	p.cmd = exec.Command("target/mulberry-node", role, "--metrics-port", fmt.Sprint(metricsPort))
	p.cmd.Env = append(os.Environ(), nodefile.PathVariable+"="+path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("start %s: %w", s.Node, err)
	}
	w.note("%s: started with role %s at %s", p.name, role, s.IP)
	go func() {
		_ = p.cmd.Wait()
		log.Close()
		w.note("%s: ended, %s", p.name, p.cmd.ProcessState)
		close(p.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p
}

// signal sends a signal to a process.
func (w *world) signal(p *process, s syscall.Signal) {
	w.note("%s: %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// awaitReady waits until an entry reports itself ready.
func (w *world) awaitReady(machine int) {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		resp, err := http.Get("http://" + w.addr(machine, portReady) + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("the entry at %s is not ready", w.ip(machine))
}

// closeOnSignal ends everything when this program is asked to stop.
func (w *world) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	w.note("stopped by a signal: %s", <-stop)
	w.close()
	os.Exit(2)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, p := range processes {
		w.notePeakMemory(p)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	for _, f := range closers {
		f()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, p := range processes {
			if text, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), text, 0o600)
			}
		}
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// notePeakMemory notes the peak resident memory of a running process.
func (w *world) notePeakMemory(p *process) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM:") {
			w.note("%s: peak memory %s", p.name, strings.TrimSpace(line[len("VmHWM:"):]))
		}
	}
}

// answer is a client's answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call makes one client attempt on a connection of its own.
func (w *world) call(ctx context.Context, machine int, method, target, id string, header map[string]string, body []byte) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addr(machine, portFront)+target, strings.NewReader(string(body)))
	if err != nil {
		fail("%w", err)
	}
	req.GetBody = nil
	req.Host = host
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data}, err
}

// scenarios returns the scenarios by name. Each returns whether its rule was broken.
func scenarios() map[string]func(*world) bool {
	return map[string]func(*world) bool{"extra-answer": extraAnswer, "large-job": largeJob, "late-request": lateRequest}
}

// trouble reports whether the scenario's disruption is to be brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 || scenarios()[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	os.Exit(run(scenarios()[os.Args[1]], os.Args[2]))
}

// run runs a scenario and returns the exit code.
func run(scenario func(*world) bool, recordPath string) (code int) {
	var w *world
	defer func() {
		if w != nil {
			w.close()
		}
	}()
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(failure)
			if !ok {
				panic(r)
			}
			fmt.Fprintln(os.Stderr, "could not run:", f.err)
			code = 2
		}
	}()
	w = newWorld(recordPath)
	w.note("TROUBLE=%v", trouble())
	go w.closeOnSignal()
	if scenario(w) {
		w.note("the rule was BROKEN")
		fmt.Println("broken")
		return 1
	}
	w.note("the rule held")
	fmt.Println("held")
	return 0
}

// routes returns a configuration with the given routes and services.
func routes(version uint64, services []fleet.Service, list ...fleet.Route) *fleet.Config {
	c := &fleet.Config{Version: version, Services: services, Routes: list, Limits: fleet.Limits{
		MaxHeaderBytes: 16384, MaxBodyBytes: 33554432, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	c.Index()
	return c
}
