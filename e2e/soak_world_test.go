package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Names of the soak's deployment.
const (
	soakHost       = "soak.example"
	serviceEngines = "engines"
	serviceDesk    = "desk"
	serviceDesk2   = "desk-2"
	serviceKiosk   = "kiosk" // some requests crash its endpoints
	soakEntries    = 3
	soakAgents     = 4 // each with an engine
	soakCallers    = 6
)

// Path prefixes of the forwarded routes.
const (
	prefixLook   = "/look/"   // repeatable; the operator moves it between two services
	prefixBook   = "/book/"   // runs at most once
	prefixTell   = "/tell/"   // a resumable stream
	prefixScore  = "/score/"  // scores texts; repeatable
	prefixSay    = "/say/"    // a stream that runs at most once
	prefixPeek   = "/peek/"   // repeatable
	prefixErrand = "/errand/" // runs at most once, and may take long
)

var soakModels = []string{"guide", "meter"}

// Ports, the same on each instance.
const (
	portFront      = 8100 // through the link
	portFrontInner = 8101
	portReady      = 8102
	portStore      = 8103 // the instance's links to the store
	portStore2     = 8104
	portEngine     = 8105 // through the link
	portEngineIn   = 8106
	portDuties     = 8107 // through the link
	portDutiesIn   = 8108
	portPeers      = 8110
	portMetrics    = 8120
)

// soakInstance is an instance that runs an entry or an agent process.
type soakInstance struct {
	name, ip, role  string
	service         string // of the engine beside it
	process         *process
	settings        string
	storeLinks      []*link
	activeStoreLink int
	// clientAddr is an entry's address for clients; link is in front of the entry or the engine.
	clientAddr string
	link       *link
	engine     *soakEngine
	// dutyLink is an agent's link to the platform's duty endpoint.
	dutyLink *link

	mu        sync.Mutex // held by the fault that stops or starts the process
	logOffset int        // length of the log at the last start
}

// soakWorld is one deployment.
type soakWorld struct {
	t         *testing.T
	seed      uint64
	dir       string
	octet     int // third octet of all its addresses
	crowded   bool
	copies    *answerCopies // nil if engines send each answer once
	split     bool          // batch routes are split over two services
	largeJobs bool          // every other step is a job that is stored in objects
	store     *soakStore
	server    *http.Server
	entries   []*soakInstance
	agents    []*soakInstance
	desks     []*soakEngine
	deskLinks []*link
	kiosks    []*soakEngine
	halls     []*soakEngine
	duties    *soakDuties
	record    *record
	registry  *registry
	stop      chan struct{}

	mu            sync.Mutex
	config        int
	notes         strings.Builder
	faultsStarted time.Time
}

func (w *soakWorld) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.notes, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// allowedServices returns the services that may run a request to a target.
func (w *soakWorld) allowedServices(target string) []string {
	switch {
	case strings.HasPrefix(target, prefixLook):
		return []string{serviceDesk, serviceDesk2}
	case strings.HasPrefix(target, prefixPeek):
		return []string{serviceKiosk}
	case strings.HasPrefix(target, prefixCrowd):
		return []string{serviceHall}
	}
	return []string{serviceDesk}
}

// soakWorlds numbers the deployments of this test run, so that their addresses differ.
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

// startSoak starts a deployment without a crowd and waits until its entries are ready.
func startSoak(t *testing.T, seed uint64) *soakWorld { return startSoakWith(t, seed, soakVariant{}) }

// soakVariant is what differs between deployments of the soak.
type soakVariant struct {
	crowded bool
	copies  *answerCopies // nil if engines send each answer once
	split   bool          // batch routes are split over two services
}

// startSoakWith is startSoak for a variant.
func startSoakWith(t *testing.T, seed uint64, v soakVariant) *soakWorld {
	soakWorlds.Lock()
	soakWorlds.next++
	octet := soakWorlds.next % 250
	soakWorlds.Unlock()
	w := &soakWorld{
		t: t, seed: seed, dir: t.TempDir(), octet: octet, crowded: v.crowded, copies: v.copies, split: v.split, store: newSoakStore(), record: newRecord(), stop: make(chan struct{}),
	}
	w.duties = newSoakDuties(w.record)
	w.registry = &registry{store: w.store, rng: rand.New(rand.NewPCG(seed, 1)), lastHeartbeat: map[string]time.Time{}}
	go w.registry.removeExpired(w.stop)
	t.Cleanup(w.close)
	w.startStore()
	w.configure()
	for i := range soakEntries {
		w.entries = append(w.entries, w.startInstance("entry", 10+i))
	}
	for i := range soakAgents {
		w.agents = append(w.agents, w.startInstance("agent", splitAgent+i))
	}
	for i, service := range []string{serviceDesk, serviceDesk, serviceDesk2} {
		w.startDesk(service, 100+i)
	}
	for i := range soakKiosks {
		w.startKiosk(110 + i)
	}
	for i := range hallEndpoints {
		w.startHall(120 + i)
	}
	for _, e := range w.entries {
		eventually(t, e.name+" is ready", func() error { return ready(e.ip) })
	}
	w.faultsStarted = time.Now()
	return w
}

func (w *soakWorld) startStore() {
	l, err := net.Listen("tcp", addr(w.ip(1), portStore))
	if err != nil {
		w.t.Fatal(err)
	}
	w.server = &http.Server{Handler: w.store}
	go w.server.Serve(l) // returns after Close
}

// link opens a link that is closed at the end of the test.
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
	m := &soakInstance{name: fmt.Sprintf("%s-%d", role, n), ip: ip, role: role, service: serviceEngines, settings: filepath.Join(w.dir, fmt.Sprintf("%s-%d.yaml", role, n))}
	for _, port := range []int{portStore, portStore2} {
		m.storeLinks = append(m.storeLinks, w.link(addr(ip, port), addr(w.ip(1), portStore)))
	}
	if role == "entry" {
		m.clientAddr = addr(ip, portFront)
		m.link = w.link(m.clientAddr, addr(ip, portFrontInner))
	} else {
		m.link = w.link(addr(ip, portEngine), addr(ip, portEngineIn))
		m.service = w.modelService(n)
		m.engine = w.startEngine(m.service, ip, soakModels)
		w.startDutyServer(m)
	}
	w.writeSettings(m)
	m.process = startProcess(w.t, m.name, "mulberry-node", role, "--settings", m.settings, "--log-level", "debug", "--metrics-port", fmt.Sprint(portMetrics))
	return m
}

func (w *soakWorld) startDesk(service string, n int) {
	ip := w.ip(n)
	w.deskLinks = append(w.deskLinks, w.link(addr(ip, portEngine), addr(ip, portEngineIn)))
	w.desks = append(w.desks, w.startEngine(service, ip, nil))
}

func (w *soakWorld) startEngine(service, ip string, models []string) *soakEngine {
	return w.startEngineAt(service, ip, addr(ip, portEngineIn), addr(ip, portEngine), models)
}

// startEngineAt starts an engine that listens at one address and registers another.
func (w *soakWorld) startEngineAt(service, ip, listen, advertised string, models []string) *soakEngine {
	e := &soakEngine{
		service: service, zone: zoneOf(ip), listen: listen, addr: advertised, models: models,
		registry: w.registry, record: w.record, copies: w.copies,
	}
	if err := e.start(false); err != nil {
		w.t.Fatal(err)
	}
	return e
}

// startKiosk starts an endpoint without a link, so that its port refuses connections
// after a crash.
func (w *soakWorld) startKiosk(n int) {
	ip := w.ip(n)
	at := addr(ip, portEngine)
	w.kiosks = append(w.kiosks, w.startEngineAt(serviceKiosk, ip, at, at, nil))
}

// soakZones are the availability zones.
var soakZones = []string{"zone-0", "zone-1"}

// zoneOf assigns instances to the zones alternately, by the last digit of their address.
func zoneOf(ip string) string { return "zone-" + fmt.Sprint(int(ip[len(ip)-1]-'0')%2) }

// ready returns nil if an entry reports itself ready.
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
	for _, d := range slices.Concat(w.desks, w.kiosks, w.halls) {
		d.faultLock.Lock() // waits for a fault that still has to restart the engine
		d.crash()
		d.faultLock.Unlock()
	}
	w.server.Close()
	if w.t.Failed() {
		w.writeLogs()
	}
}

// writeLogs writes the logs of the processes and the callers to -soak.logs, if it is set.
func (w *soakWorld) writeLogs() {
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
