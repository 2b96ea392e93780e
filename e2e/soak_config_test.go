package e2e

import (
	"cmp"
	"os"
	"time"

	fleetview "mulberryscale.example/fleet"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
)

// writeSettings replaces an instance's settings file atomically.
func (w *soakWorld) writeSettings(m *soakInstance) {
	text, err := nodefile.Encode(&nodefile.Settings{
		Node: m.name, IP: m.ip, Zone: zoneOf(m.ip), PeerPort: portPeers, MetricsPort: portMetrics,
		Clients: addr(m.ip, portFrontInner), Ready: addr(m.ip, portReady), Engine: addr(m.ip, portEngine), Service: m.service,
		Store: addr(m.ip, portStore+m.activeStoreLink), RowBytes: 64 << 10, ObjectBytes: objectBytesOf(m.ip), StoreWrites: 800,
		Grace: soakGrace, KeepResults: 2 * time.Minute, Zones: soakZones,
		Duties: addr(m.ip, portDuties), ReportUsage: true, Lease: soakLease, UsageWindow: soakUsageWindow, UsageDue: soakUsageDue,
		Pressure: w.crowded,
	})
	if err != nil {
		w.t.Error(err)
	}
	next := m.settings + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		w.t.Error(err)
	}
	if err := os.Rename(next, m.settings); err != nil {
		w.t.Error(err)
	}
}

// objectBytesOf returns the size of an instance's largest objects. Entries differ, so that two
// attempts to submit a job cut it into other objects.
func objectBytesOf(ip string) int {
	lastDigit := int(ip[len(ip)-1] - '0')
	return (200 + 100*(lastDigit%soakEntries)) << 10
}

// configure writes the next configuration version, which routes lookups to the other desk service.
func (w *soakWorld) configure() {
	w.mu.Lock()
	w.config++
	version := w.config
	w.mu.Unlock()
	desk := []string{serviceDesk2, serviceDesk}[version%2]
	config := soakConfig(uint64(version), desk)
	if w.copies != nil {
		w.copies.configure(config)
	}
	if w.split {
		splitRoutes(config, splitWeights[version%len(splitWeights)])
	}
	row, err := operator.ConfigRow(config)
	w.write(w.t.Context(), row, err)
}

// soakRewardAttempts is how many attempts of a reward call may fail before its item fails.
const soakRewardAttempts = 3

// soakConfig returns a configuration that routes lookups to the service desk.
func soakConfig(version uint64, desk string) *fleetview.Config {
	c := &fleetview.Config{
		Version:       version,
		Organisations: append(organisationsOf(int(version)), crowdOrganisationsOf()...),
		Services: []fleetview.Service{
			{Name: serviceEngines, MaxConns: 200, Models: soakModels}, {Name: serviceDesk, MaxConns: 100}, {Name: serviceDesk2, MaxConns: 100},
			{Name: serviceKiosk, MaxConns: 100}, {Name: serviceHall, MaxConns: 100},
		},
		Limits: fleetview.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second},
	}
	add := func(r fleetview.Route, service string) {
		r.Host, r.MaxAttempts = soakHost, cmp.Or(r.MaxAttempts, 3)
		r.Backends = []fleetview.Backend{{Service: service, Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	const short, long, objective = 2500 * time.Millisecond, 6 * time.Second, 300 * time.Millisecond
	add(fleetview.Route{Name: "look", Prefix: prefixLook, Kind: fleetview.KindSafe, Timeout: short, Objective: objective}, desk)
	add(fleetview.Route{Name: "book", Prefix: prefixBook, Kind: fleetview.KindUnsafe, MaxAttempts: 2, Timeout: short, Objective: objective}, serviceDesk)
	add(fleetview.Route{Name: "peek", Prefix: prefixPeek, Kind: fleetview.KindSafe, Timeout: short, Objective: objective}, serviceKiosk)
	add(fleetview.Route{Name: "crowd", Prefix: prefixCrowd, Kind: fleetview.KindSafe, Timeout: short, Objective: objective}, serviceHall)
	add(fleetview.Route{Name: "tell", Prefix: prefixTell, Kind: fleetview.KindStream, Timeout: long, Objective: objective, Resumable: true}, serviceEngines)
	add(fleetview.Route{Name: "say", Prefix: prefixSay, Kind: fleetview.KindStream, Timeout: long, Objective: objective}, serviceEngines)
	add(fleetview.Route{Name: "score", Prefix: prefixScore, Kind: fleetview.KindSafe, Timeout: short, Objective: objective, MaxAttempts: soakRewardAttempts}, serviceDesk)
	add(fleetview.Route{Name: "errand", Prefix: prefixErrand, Kind: fleetview.KindUnsafe, MaxAttempts: 2, Timeout: long, Objective: objective}, serviceDesk)
	for _, m := range soakModels {
		add(fleetview.Route{
			Name: m, Prefix: "/" + m + "/", Kind: fleetview.KindBatch, Objective: time.Second, ItemTTL: time.Minute, RunTarget: 5 * time.Second,
		}, serviceEngines)
	}
	return c
}
