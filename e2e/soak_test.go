package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// The soak runs the programs of the users' platform as separate processes on
// loopback addresses, disturbs them from outside in an order that a seed
// draws, and checks what callers and engines see. By hand:
//
//	go test ./e2e -run 'TestSoak$' -soak.first 100 -soak.seeds 50 -soak.logs DIR
var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 2, "number of seeds of the soak")
	soakLogs  = flag.String("soak.logs", "", "directory for the logs of seeds that failed")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "how long a seed's faults go on")
)

// soakCases are seeds that failed once, each with its cause.
var soakCases = []struct {
	seed  uint64
	cause string
}{
	// The program heard signals only once its settings were read.
	{15, "SIGTERM within milliseconds of the start"},
	{16, "SIGHUP within milliseconds of the start ended the process"},
	{18, "SIGTERM within milliseconds of the start"},
	{43, "SIGTERM within milliseconds of the start"},
	{45, "SIGTERM within milliseconds of the start"},
}

// Names of the soak's deployment.
const (
	soakHost       = "soak.example"
	serviceEngines = "engines"
	serviceDesk    = "desk"
	serviceDesk2   = "desk-2"
	soakEntries    = 3
	soakAgents     = 4 // with an engine and an agent each
	soakCallers    = 6
)

var soakModels = []string{"guide", "meter"}

// Ports, the same on each instance.
const (
	portFront      = 8100 // through its link
	portFrontInner = 8101
	portReady      = 8102
	portStore      = 8103 // the instance's links to the store
	portStore2     = 8104
	portEngine     = 8105 // through its link
	portEngineIn   = 8106
	portPeers      = 8110
	portMetrics    = 8120
)

// soakInstance is an instance with one of our processes.
type soakInstance struct {
	name, ip, role string
	process        *process
	settings       string
	storeLinks     []*link
	usesLink       int
	// front is the address for clients, link the way to the entry or the engine.
	front  string
	link   *link
	engine *soakEngine

	mu     sync.Mutex // held by the one fault that stops or starts the process
	logged int        // the length of the log at the last start
}

// soakWorld is one deployment.
type soakWorld struct {
	t         *testing.T
	seed      uint64
	dir       string
	octet     int // of all its addresses
	store     *soakStore
	server    *http.Server
	entries   []*soakInstance
	agents    []*soakInstance
	desks     []*soakEngine
	deskLinks []*link
	record    *record
	reg       *registry
	stop      chan struct{}

	mu     sync.Mutex
	config int
	notes  strings.Builder
	began  time.Time
}

func (w *soakWorld) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.notes, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// allowed are the services that may run a request.
func (w *soakWorld) allowed(target string) []string {
	if strings.HasPrefix(target, "/look/") {
		return []string{serviceDesk, serviceDesk2} // the operator moves this route
	}
	return []string{serviceDesk}
}

// soakWorlds numbers the deployments of this run, for their addresses.
var soakWorlds struct {
	sync.Mutex
	next int
}

func (w *soakWorld) ip(n int) string {
	block, err := takeBlock()
	if err != nil {
		w.t.Fatal(err)
	}
	return fmt.Sprintf("127.%d.%d.%d", 64+(block.base-firstPort)/blockPorts, w.octet, n)
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// startSoak starts a deployment and waits until its entries are ready.
func startSoak(t *testing.T, seed uint64) *soakWorld {
	soakWorlds.Lock()
	soakWorlds.next++
	octet := soakWorlds.next % 250
	soakWorlds.Unlock()
	w := &soakWorld{
		t: t, seed: seed, dir: t.TempDir(), octet: octet, store: newSoakStore(), record: newRecord(), stop: make(chan struct{}),
	}
	w.reg = &registry{store: w.store, rng: rand.New(rand.NewPCG(seed, 1)), heard: map[string]time.Time{}}
	go w.reg.lapse(w.stop)
	t.Cleanup(w.close)
	w.startStore()
	w.configure()
	for i := range soakEntries {
		w.entries = append(w.entries, w.startInstance("entry", 10+i))
	}
	for i := range soakAgents {
		w.agents = append(w.agents, w.startInstance("agent", 50+i))
	}
	for i, service := range []string{serviceDesk, serviceDesk, serviceDesk2} {
		w.startDesk(service, 100+i)
	}
	for _, e := range w.entries {
		eventually(t, e.name+" is ready", func() error { return ready(e.ip) })
	}
	w.began = time.Now()
	return w
}

func (w *soakWorld) startStore() {
	l, err := net.Listen("tcp", addr(w.ip(1), portStore))
	if err != nil {
		w.t.Fatal(err)
	}
	w.server = &http.Server{Handler: w.store}
	go w.server.Serve(l) // ends with close
}

// link opens a link that is closed with the deployment.
func (w *soakWorld) link(from, to string) *link {
	k, err := newLink(from, to)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(k.close)
	return k
}

func (w *soakWorld) startInstance(role string, n int) *soakInstance {
	ip := w.ip(n)
	m := &soakInstance{name: fmt.Sprintf("%s-%d", role, n), ip: ip, role: role, settings: filepath.Join(w.dir, fmt.Sprintf("%s-%d.yaml", role, n))}
	for _, port := range []int{portStore, portStore2} {
		m.storeLinks = append(m.storeLinks, w.link(addr(ip, port), addr(w.ip(1), portStore)))
	}
	if role == "entry" {
		m.front = addr(ip, portFront)
		m.link = w.link(m.front, addr(ip, portFrontInner))
	} else {
		m.link = w.link(addr(ip, portEngine), addr(ip, portEngineIn))
		m.engine = w.startEngine(serviceEngines, ip, soakModels)
	}
	w.writeSettings(m)
	m.process = startProcess(w.t, m.name, "mulberry-node", role, "--settings", m.settings, "--log-level", "debug")
	return m
}

func (w *soakWorld) startDesk(service string, n int) {
	ip := w.ip(n)
	w.deskLinks = append(w.deskLinks, w.link(addr(ip, portEngine), addr(ip, portEngineIn)))
	w.desks = append(w.desks, w.startEngine(service, ip, nil))
}

func (w *soakWorld) startEngine(service, ip string, models []string) *soakEngine {
	e := &soakEngine{
		service: service, zone: zoneOf(ip), listen: addr(ip, portEngineIn), addr: addr(ip, portEngine), models: models,
		registry: w.reg, record: w.record,
	}
	if err := e.start(); err != nil {
		w.t.Fatal(err)
	}
	return e
}

// zoneOf puts every second instance into the other zone.
func zoneOf(ip string) string { return "zone-" + fmt.Sprint(int(ip[len(ip)-1]-'0')%2) }

// writeSettings lays an instance's settings file, whole at any moment.
func (w *soakWorld) writeSettings(m *soakInstance) {
	text := fmt.Sprintf(`NodeName: "%s"
Ip: "%s"
Zone: "%s"
InternalPorts: [%d, %d]
Listen: {Front: "%s", ReadyAddr: "%s"}
app: "%s"
Service: "%s"
Bounds: {GraceS: 8, StatusS: 120}
Platform: {Address: "%s", WritesPerS: 800, RowBytes: 65536, BlobBytes: 8388608}
`, m.name, m.ip, zoneOf(m.ip), portPeers, portMetrics, addr(m.ip, portFrontInner), addr(m.ip, portReady),
		addr(m.ip, portEngine), serviceEngines, addr(m.ip, portStore+m.usesLink))
	next := m.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		w.t.Error(err)
	}
	if err := os.Rename(next, m.settings); err != nil {
		w.t.Error(err)
	}
}

// configure writes the next configuration, which moves the route of lookups.
func (w *soakWorld) configure() {
	w.mu.Lock()
	w.config++
	version := w.config
	w.mu.Unlock()
	desk := []string{serviceDesk2, serviceDesk}[version%2]
	routes := []map[string]any{
		{"Name": "look", "Host": soakHost, "Prefix": "/look/", "Kind": "safe", "TimeoutMs": 2500, "SloMs": 300, "Service": desk, "MaxAttempts": 3},
		{"Name": "book", "Host": soakHost, "Prefix": "/book/", "Kind": "unsafe", "TimeoutMs": 2500, "SloMs": 300, "Service": serviceDesk, "MaxAttempts": 2},
		{"Name": "tell", "Host": soakHost, "Prefix": "/tell/", "Kind": "streaming", "TimeoutMs": 6000, "SloMs": 500, "Service": serviceEngines, "MaxAttempts": 3, "Resumable": true},
		{"Name": "say", "Host": soakHost, "Prefix": "/say/", "Kind": "streaming", "TimeoutMs": 6000, "SloMs": 500, "Service": serviceEngines, "MaxAttempts": 3},
	}
	for _, model := range soakModels {
		routes = append(routes, map[string]any{
			"Name": model, "Host": soakHost, "Prefix": "/" + model + "/", "Kind": "rollout", "SloMs": 1000, "Service": serviceEngines,
			"MaxAttempts": 3, "ItemTtlS": 60, "RunTargetMs": 5000,
		})
	}
	models := []map[string]any{}
	for _, model := range soakModels {
		models = append(models, map[string]any{"Name": model})
	}
	w.write(w.t.Context(), "op", "config", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": serviceEngines, "MaxConns": 200, "Engine": map[string]any{"Slots": soakSlots, "Models": models}},
			{"Name": serviceDesk, "MaxConns": 100}, {"Name": serviceDesk2, "MaxConns": 100},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	})
}

// ready is nil when an entry calls itself ready.
func ready(ip string) error {
	resp, err := direct.Get("http://" + addr(ip, portReady) + "/readyz")
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", resp.Status)
	}
	return nil
}

func (w *soakWorld) close() {
	close(w.stop)
	for _, m := range w.agents {
		m.engine.crash()
	}
	for _, d := range w.desks {
		d.crash()
	}
	w.server.Close()
	if w.t.Failed() {
		w.keepLogs()
	}
}

// keepLogs writes what the processes and the callers said.
func (w *soakWorld) keepLogs() {
	if *soakLogs == "" {
		return
	}
	dir := filepath.Join(*soakLogs, fmt.Sprintf("seed-%d", w.seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Error(err)
		return
	}
	for _, m := range append(w.entries, w.agents...) {
		if err := os.WriteFile(filepath.Join(dir, m.name+".log"), []byte(m.process.log.String()), 0o600); err != nil {
			w.t.Error(err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := os.WriteFile(filepath.Join(dir, "callers.log"), []byte(w.notes.String()), 0o600); err != nil {
		w.t.Error(err)
	}
}

// TestSoak plays seeds; those that failed once are always among them.
func TestSoak(t *testing.T) {
	for _, c := range soakCases {
		t.Run(fmt.Sprintf("case-%d", c.seed), func(t *testing.T) {
			t.Parallel()
			t.Logf("failed once: %s", c.cause)
			soak(t, c.seed)
		})
	}
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { t.Parallel(); soak(t, seed) })
	}
}

// soakSlot bounds how many deployments run at a time.
var soakSlot = make(chan struct{}, atOnce)

// soak plays one seed.
func soak(t *testing.T, seed uint64) {
	soakSlot <- struct{}{}
	defer func() { <-soakSlot }()
	w := startSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { w.client(fmt.Sprintf("caller-%d", i)).look(ctx) })
	}
	callers.Go(func() { w.client("rereader").reread(ctx) })
	for _, model := range soakModels {
		callers.Go(func() { (&soakTrainer{soakClient: w.client("trainer-" + model), model: model}).run(ctx) })
	}
	w.disturb()
	cancel()
	callers.Wait()
	w.settle()
	for _, p := range w.record.problems {
		t.Error(p)
	}
	t.Logf("seed %d:%s", seed, w.record.summary())
}

// settle checks, once all is whole again, that everything is served and that
// every accepted job can be read to its end at every entry.
func (w *soakWorld) settle() {
	for _, m := range append(w.entries, w.agents...) {
		if !m.process.running() {
			w.record.problem("%s has ended by itself", m.name)
			m.process.start()
		}
	}
	c := w.client("settler")
	for _, e := range w.entries {
		eventually(w.t, e.name+" is ready again", func() error { return ready(e.ip) })
		eventually(w.t, e.name+" serves", func() error {
			c.next++
			id := fmt.Sprintf("%s-%d", c.name, c.next)
			if !c.forward(w.t.Context(), e.front, id, http.MethodGet, "/look/"+id, false) {
				return fmt.Errorf("%s not served", id)
			}
			return nil
		})
	}
	for _, j := range w.record.acceptedJobs() {
		for _, e := range w.entries {
			eventually(w.t, fmt.Sprintf("job %s is read to its end at %s", j.id, e.name), func() error { return c.readAll(w.t.Context(), e.front, j) })
		}
	}
	w.record.checkRefused()
}

// readAll reads a job from the start to what is owed: all of it, or what was
// read before if it was ended.
func (c *soakClient) readAll(ctx context.Context, entry string, j *soakJob) error {
	owed := len(j.items)
	if _, ended := c.w.record.state(j); ended {
		owed = c.w.record.position(j)
	}
	for at := 0; at < owed; {
		status, next, _ := c.page(ctx, entry, j, at)
		if status != http.StatusOK || next == at {
			return fmt.Errorf("%d of %d results, status %d", at, owed, status)
		}
		at = next
	}
	return nil
}
