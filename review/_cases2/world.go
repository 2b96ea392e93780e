package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mulberryscale.example/fleet"
	"mulberryscale.example/internal/standin/rowstore"
	"mulberryscale.example/platform/metastore/standin"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
)

const (
	zoneName = "zone-a"
	hostName = "shop.example"

	// Ports, the same on all machines, as DEPLOY.md names them.
	portFront  = 8263
	portReady  = 8268
	portStore  = 8266
	portEngine = 9000
	portPeers  = 7300
	portLast   = 7315

	programPath = "target/mulberry-node"
)

// world is a small deployment: the platform's store, engines, and the project's programs as
// separate processes.
type world struct {
	dir    string
	prefix string // of all addresses, "127.a.b."
	rows   *rowstore.Store
	began  time.Time
	brief  bool // leaves the single runs and results out of the record

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	runs     map[string]int
	endings  []ending
}

// ending is a run as the engine saw it end.
type ending struct {
	engine, service, id string
	status              int // 0 if the caller left
	at                  time.Duration
}

// machine is a machine that runs one of the project's programs.
type machine struct {
	w        *world
	name     string
	role     string
	ip       string
	settings *nodefile.Settings
	path     string
	cmd      *exec.Cmd
	exited   chan struct{}
	kills    int // by the limit
	stopping bool
}

func must(err error) {
	if err != nil {
		fail(err)
	}
}

// fail ends the run as one that could not be done.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if current != nil {
		current.note("the case could not run: %v", err)
		current.close()
	}
	os.Exit(exitNotRun)
}

// current is the world that is running, for fail.
var current *world

func newWorld(recordDir string) *world {
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	w := &world{dir: dir, rows: rowstore.New(), began: time.Now(), runs: map[string]int{}}
	w.record, err = os.Create(filepath.Join(recordDir, "record.txt"))
	must(err)
	current = w
	pid := os.Getpid()
	for try := range 200 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+(pid/200+try)%200, 1+pid%200)
		if l, err := net.Listen("tcp", w.ip(1)+fmt.Sprintf(":%d", portStore)); err == nil {
			server := &http.Server{Handler: standin.New(w.rows)}
			go server.Serve(l)
			return w
		}
	}
	fail(errors.New("no free address for the store"))
	return nil
}

func (w *world) ip(n int) string { return w.prefix + fmt.Sprint(n) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// begun notes that an engine begins to run a request, and returns how often it has begun at all
// engines together.
func (w *world) begun(e *engine, id string) int {
	w.mu.Lock()
	w.runs[id]++
	n := w.runs[id]
	w.mu.Unlock()
	if !w.brief {
		w.note("engine %s (%s) begins to run %s, for the %d. time", e.id, e.service, id, n)
	}
	return n
}

// ended notes how a run ended.
func (w *world) ended(e *engine, x run, status int) {
	w.mu.Lock()
	w.endings = append(w.endings, ending{e.id, e.service, x.id, status, time.Since(w.began)})
	w.mu.Unlock()
	if !w.brief {
		w.note("engine %s answers %s with %d", e.id, x.id, status)
	}
}

// endingsOf returns how often runs of a request ended with a status.
func (w *world) endingsOf(id string, status int) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endings {
		if e.id == id && e.status == status {
			n++
		}
	}
	return n
}

// engine starts an engine on the machine n.
func (w *world) engine(n int, service, model string, slots int, plan func(*engine, run) outcome) *engine {
	e := &engine{
		w: w, id: fmt.Sprintf("i-%s-%d", service, n), service: service, model: model, slots: slots, plan: plan,
		addr: fmt.Sprintf("%s:%d", w.ip(n), portEngine),
	}
	e.start()
	return e
}

// configure writes a configuration.
func (w *world) configure(c *fleet.Config) {
	c.Limits = fleet.Limits{MaxHeaderBytes: 65536, MaxBodyBytes: 33554432, HeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	row, err := operator.ConfigRow(c)
	must(err)
	w.rows.Put(row)
	w.note("configuration %d is acknowledged", c.Version)
}

// machine prepares a machine. Its settings are those of the users' small deployments.
func (w *world) machine(n int, role, service string) *machine {
	ip := w.ip(n)
	m := &machine{w: w, name: fmt.Sprintf("%s-%d", role, n), role: role, ip: ip, path: filepath.Join(w.dir, fmt.Sprintf("node-%d.yaml", n))}
	m.settings = &nodefile.Settings{
		Node: m.name, Zone: zoneName, IP: ip, PeerPort: portPeers, MetricsPort: portLast,
		Store: fmt.Sprintf("%s:%d", w.ip(1), portStore), RowBytes: 65536, ObjectBytes: 8388608, StoreWrites: 800,
		Grace: 8 * time.Second, DrainTime: 2 * time.Second, ConfigTime: 2 * time.Second, KeepResults: 120 * time.Second,
		Lease: 3 * time.Second, Zones: []string{zoneName},
	}
	if role == "entry" {
		m.settings.Clients, m.settings.Ready = fmt.Sprintf("%s:%d", ip, portFront), fmt.Sprintf("%s:%d", ip, portReady)
	} else {
		m.settings.Engine, m.settings.Service = fmt.Sprintf("%s:%d", ip, portEngine), service
	}
	w.machines = append(w.machines, m)
	return m
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	text, err := nodefile.Encode(m.settings)
	must(err)
	must(os.WriteFile(m.path, text, 0o600))
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command(programPath, m.role, "--metrics-port", "9911")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "MULBERRYSCALE_CONFIG=" + m.path, "QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING=true"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive this program
	must(cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.w.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.w.mu.Unlock()
	m.w.note("process of %s started", m.name)
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.w.note("%s to %s", s, m.name)
	_ = m.cmd.Process.Signal(s) // fails if it has ended
}

// stop ends the process with SIGTERM, and with SIGKILL after the grace period.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(m.settings.Grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.w.note("process of %s has ended", m.name)
}

// awaitReady waits until the balancer would send clients to the machine.
func (m *machine) awaitReady() {
	for range 300 {
		resp, err := http.Get("http://" + m.settings.Ready + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail(fmt.Errorf("%s is not ready", m.name))
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	machines := w.machines
	for _, m := range machines {
		m.stopping = true
	}
	w.mu.Unlock()
	for _, m := range machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill() // fails if it has ended
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// call makes a client's call on a new connection.
func (w *world) call(ctx context.Context, entry *machine, method, target, id string, header map[string]string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.settings.Clients+target, bytes.NewReader(body))
	must(err)
	req.Host = hostName
	req.GetBody = nil
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}
