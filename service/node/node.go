// Package node assembles the programs that run on the users' platform: the
// entry, which serves clients, and the agent beside each model engine. All
// durable state is in the platform's store; a process has none of its own.
package node

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/batch"
	"mulberryscale.example/fleet"
	"mulberryscale.example/forward"
	"mulberryscale.example/internal/buildid"
	"mulberryscale.example/loadview"
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/duties"
	"mulberryscale.example/platform/metastore"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/store"
	"mulberryscale.example/store/relay"
)

// base holds the state and dependencies that both programs share.
type base struct {
	settings    *nodefile.Settings
	incarnation string
	role        string
	metricsPort int
	log         *logrus.Entry
	bounded     *observe.LogLimiter
	counters    *observe.Counters
	// store is this process's direct connection to the store. rows is the same store,
	// reached through agents while the direct connection fails.
	store  *metastore.Client
	rows   store.Store
	duties *duties.Client
	peers  *peers
	view   *fleet.View
	ledger *batch.Ledger
	// load returns the load as this process sees it; nil for none. It is set before the process
	// runs.
	load func() loadview.Load
}

// Options are the settings that are not part of the platform's settings file.
type Options struct {
	// MetricsPort is the port on which counters are served; 0 disables them.
	MetricsPort int
	// LogLevel is the lowest level that is logged.
	LogLevel string
	// Gates are an entry's bounds for services that have a gate; the zero value stands for the
	// defaults.
	Gates forward.GateSettings
}

func newBase(settings *nodefile.Settings, options Options, role string) (*base, error) {
	logger, err := observe.NewLogger(observe.LogOptions{Level: options.LogLevel, Format: observe.FormatJSON, Output: os.Stdout})
	if err != nil {
		return nil, err
	}
	b := &base{
		settings: settings, role: role, metricsPort: options.MetricsPort, bounded: observe.LimitLog(logger), incarnation: newIncarnation(), counters: observe.NewCounters(),
		store: metastore.New(settings.Store), duties: duties.New(settings.Duties), peers: &peers{}, view: fleet.NewView(),
	}
	b.store.Traffic = b.countTraffic
	b.log = logger.WithFields(logrus.Fields{observe.FieldProcess: settings.Node, "role": role, "incarnation": b.incarnation})
	b.rows = &relay.Store{
		Direct: b.store, OnSwitch: b.logRelayed,
		OnRelayed: func() { b.counters.Add(observe.NameStoreRelayed, observe.RowNone, 1) },
		Peers:     &relayAgents{node: settings.Node, ownEngine: settings.Engine, port: settings.PeerPort, view: b.view, peers: b.peers},
	}
	b.ledger = &batch.Ledger{Store: b.rows, RowBytes: settings.RowBytes, ObjectBytes: settings.ObjectBytes}
	return b, nil
}

// logStart returns the logger for the first line of a process, which tells which program runs.
func (b *base) logStart() logrus.FieldLogger {
	return b.log.WithField(observe.FieldBuild, buildid.Own())
}

// logRelayed logs when calls to the store begin or cease to go through agents.
func (b *base) logRelayed(relayed bool) {
	log := b.log.WithField("dependency", "store")
	if relayed {
		log.Warn("store reached through agents only")
		return
	}
	log.Info("store reached directly again")
}

// countTraffic counts a call to the store and its bytes, by table.
func (b *base) countTraffic(table string, sent, received int) {
	b.counters.Add(observe.NameStoreCalls, table, 1)
	b.counters.Add(observe.NameStoreSent, table, int64(sent))
	b.counters.Add(observe.NameStoreReceived, table, int64(received))
}

// trafficLogInterval is the interval of the log lines on store traffic.
const trafficLogInterval = 10 * time.Second

// logTraffic periodically logs the total store traffic since the start, until ctx is
// cancelled.
func (b *base) logTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.log.WithFields(logrus.Fields{
			"calls": b.counters.Rows(observe.NameStoreCalls), "sent": b.counters.Rows(observe.NameStoreSent),
			"received": b.counters.Rows(observe.NameStoreReceived),
		}).Debug("store traffic")
	}
}

// newIncarnation returns a random id for one start of a process.
func newIncarnation() string {
	var id [6]byte
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(id[:])
}

// startBackground starts the tasks that both programs run until ctx is cancelled:
// metrics, traffic logs, and watches that keep the view up to date.
func (b *base) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	config := &configWatcher{view: b.view, log: b.log}
	instances := newInstanceWatcher(b.view, b.log)
	wg.Go(func() { b.serveMetrics(ctx, b.metricsPort) })
	wg.Go(func() { b.logTraffic(ctx) })
	wg.Go(func() {
		store.Follow(ctx, b.rows, store.Source{Table: operator.TableOperator, Pace: operatorPace(b.settings)}, config)
	})
	wg.Go(func() {
		store.Follow(ctx, b.rows, store.Source{Table: operator.TableInstances, Pace: instancesPace(b.settings), Refresh: b.view.Stale()}, instances)
	})
}
