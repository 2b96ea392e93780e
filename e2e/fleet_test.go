package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulberryscale.example/internal/standin/fault"
	"mulberryscale.example/keys"
	"mulberryscale.example/platform"
)

// Names of the deployment.
const (
	rowLookups  = "visitors"
	rowTrainer  = "guide-training"
	rowListings = "listings"
	rowBookings = "bookings"
	rowScorer   = "guide-scorer"
	model       = "guide"
	version     = 3
	adminToken  = "e2e-operators"
)

const tableText = `name,kind,model,share,staleness_bound,max_rps,max_tps,max_concurrency,max_queue,deadline,wait_share,leftover,scorer,swap,repeatable
visitors,service,guide,4,,,,,400,60s,,,,at_once,
guide-training,trainer,guide,6,1,,,,4000,5m,1,carry,guide-scorer,at_once,
listings,plain,,1,,,,,400,30s,,,,,true
bookings,plain,,1,,,,,100,30s,,,,,false
guide-scorer,plain,,1,,,,,4000,30s,,,,,true
`

// direct is an HTTP client that ignores the proxy settings of the environment.
var direct = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// node is an entry or an agent with its operators' listener.
type node struct {
	*process
	id, role, zone string
	addr           string // for entries and agents
	admin          string
	url            string // callers' base URL of an entry
}

// fleet is a deployment of separate processes.
type fleet struct {
	t         *testing.T
	dir       string
	authority *keys.Authority
	table     *process
	tableURL  string
	instances string
	weights   string
	// engineURLs and serviceURL are the stand-ins' base URLs, also for their records and faults.
	engineURLs []string
	serviceURL string
	service    *process
	engines    []*process
	agents     []*node // the engines' agents come first
	entries    []*node
}

// fleetOptions are the settings of a deployment.
type fleetOptions struct {
	tokenTime time.Duration
	// serviceDelay is the plain service's time from a call's execution to its answer.
	serviceDelay time.Duration
	// unreadyDelay is how long a stopping entry reports itself unready before it drains.
	unreadyDelay time.Duration
}

// maxDeployments is the number of deployments that run at a time.
const maxDeployments = 2

// fleetSlots holds an item for each running deployment.
var fleetSlots = make(chan struct{}, maxDeployments)

// startFleet starts 3 engines, a plain service, a scorer, their agents and 2
// entries in 2 zones, and waits until every entry routes requests.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	if err := statSources(); err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, dir: t.TempDir()}
	f.issueKeys("entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "agent-service", "agent-scorer")
	f.table, f.tableURL = f.standin("table")
	_, f.instances = f.standin("instances")
	_, f.weights = f.standin("weights")
	f.apply(0, tableText)
	if o.tokenTime == 0 {
		o.tokenTime = 2 * time.Millisecond
	}
	for i, zone := range []string{"patan", "patan", "bhaktapur"} {
		p, url := f.standin("engine", "--id", fmt.Sprintf("engine-%d", i+1), "--model", fmt.Sprintf("%s=%d", model, version),
			"--token-time", o.tokenTime.String(), "--chunk-tokens", "2")
		f.engines = append(f.engines, p)
		f.engineURLs = append(f.engineURLs, url)
		f.addAgent(fmt.Sprintf("agent-%d", i+1), zone, "--engine", url)
	}
	f.service, f.serviceURL = f.standin("service", "--id", "service")
	f.addAgent("agent-service", "patan", "--service", f.serviceURL, "--services", rowListings+","+rowBookings)
	_, scorerURL := f.standin("scorer", "--id", "scorer")
	f.addAgent("agent-scorer", "bhaktapur", "--service", scorerURL, "--services", "guide-scorer")
	f.addEntry("entry-1", "patan", o)
	f.addEntry("entry-2", "bhaktapur", o)
	f.awaitReady()
	for _, e := range f.entries {
		f.warmUp(e)
	}
	if o.serviceDelay > 0 {
		f.fault(f.serviceURL, fault.Fault{Kind: fault.Slow, Duration: fault.Duration(o.serviceDelay)})
	}
	return f
}

// issueKeys creates an authority and issues a certificate for each process.
func (f *fleet) issueKeys(ids ...string) {
	f.t.Helper()
	authority, err := keys.NewDevAuthority()
	if err != nil {
		f.t.Fatal(err)
	}
	f.authority = authority
	if err := keys.WriteCertificates(f.file("ca.pem"), authority.CertPEM()); err != nil {
		f.t.Fatal(err)
	}
	for _, id := range ids {
		pair, err := authority.Issue(id)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := keys.WritePair(f.file(id+".pem"), f.file(id+".key"), pair); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) file(name string) string { return filepath.Join(f.dir, name) }

// standin starts a stand-in and returns its base URL.
func (f *fleet) standin(kind string, args ...string) (*process, string) {
	f.t.Helper()
	addr := freeAddr(f.t)
	p := startProcess(f.t, "standin "+kind, "mulberry-standin", append([]string{kind, "--listen", addr}, args...)...)
	eventually(f.t, kind+" listens", func() error { return reachable("http://" + addr) })
	return p, "http://" + addr
}

// reachable returns nil if an HTTP server answers, with any status.
func reachable(url string) error {
	resp, err := direct.Get(url + "/no-such-path")
	if err == nil {
		resp.Body.Close()
	}
	return err
}

// apply applies text as the table version after base, with mulberryctl.
func (f *fleet) apply(base uint64, text string) {
	f.t.Helper()
	path := f.file("table.csv")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	if out, err := f.ctl("apply", "--yes", "--base", fmt.Sprint(base), path).CombinedOutput(); err != nil {
		f.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// ctl returns a mulberryctl command.
func (f *fleet) ctl(args ...string) *exec.Cmd {
	all := append([]string{"--table-service", f.tableURL}, args...)
	return exec.Command(filepath.Join(binDir, "mulberryctl"), all...)
}

func (f *fleet) addAgent(id, zone string, args ...string) {
	f.t.Helper()
	n := f.newNode(id, string(platform.RoleAgent), zone)
	if args[0] == "--engine" {
		args = append(args, "--table-service", f.tableURL, "--weight-store", f.weights, "--target-interval", "500ms")
	}
	n.process = startProcess(f.t, id, "mulberry-agent", append(f.common(n, "--listen"), args...)...)
	f.agents = append(f.agents, n)
	f.register(n)
}

func (f *fleet) addEntry(id, zone string, o fleetOptions) {
	f.t.Helper()
	n := f.newNode(id, string(platform.RoleEntry), zone)
	callers := freeAddr(f.t)
	n.url = "http://" + callers
	args := append(f.common(n, "--peer-listen"), "--listen", callers, "--table-service", f.tableURL,
		"--instance-list", f.instances, "--unready-delay", o.unreadyDelay.String())
	n.process = startProcess(f.t, id, "mulberry-entry", args...)
	f.entries = append(f.entries, n)
	f.register(n)
}

func (f *fleet) newNode(id, role, zone string) *node {
	return &node{id: id, role: role, zone: zone, addr: freeAddr(f.t), admin: freeAddr(f.t)}
}

// common returns the flags that entries and agents share.
func (f *fleet) common(n *node, listenFlag string) []string {
	return []string{
		"--id", n.id, "--zone", n.zone, listenFlag, n.addr, "--admin", n.admin, "--admin-token", adminToken,
		"--ca", f.file("ca.pem"), "--cert", f.file(n.id + ".pem"), "--key", f.file(n.id + ".key"),
	}
}

// register adds a node to the instance list, as the platform does.
func (f *fleet) register(n *node) {
	f.t.Helper()
	instance := platform.Instance{ID: n.id, Role: platform.Role(n.role), Zone: n.zone, Addr: n.addr}
	f.send(http.MethodPut, f.instances+"/instances/"+n.id, instance)
}

// fault switches a fault of a stand-in on or off.
func (f *fleet) fault(url string, fl fault.Fault) {
	f.t.Helper()
	f.send(http.MethodPost, url+"/faults", fl)
}

func (f *fleet) send(method, url string, v any) {
	f.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(f.t.Context(), method, url, strings.NewReader(string(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := direct.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("%s %s: status %s", method, url, resp.Status)
	}
}
