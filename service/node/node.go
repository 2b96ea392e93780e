// Package node assembles the programs that run on the users' platform: the
// entry, which serves clients, and the agent beside each model engine. All that
// must last stands in the platform's store; a process keeps nothing.
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
	"mulberryscale.example/observe"
	"mulberryscale.example/platform/duties"
	"mulberryscale.example/platform/metastore"
	"mulberryscale.example/platform/nodefile"
	"mulberryscale.example/platform/operator"
	"mulberryscale.example/quarantine"
	"mulberryscale.example/store"
	"mulberryscale.example/store/relay"
)

// base is what both programs have.
type base struct {
	settings    *nodefile.Settings
	incarnation string
	metricsPort int
	log         *logrus.Entry
	bounded     *observe.Bounded
	counters    *observe.Counters
	// store is this process's own path to the store, rows the same with a relay
	// through agents.
	store  *metastore.Client
	rows   store.Store
	duties *duties.Client
	peers  *peers
	view   *fleet.View
	ledger *batch.Ledger
	// quarantine is what all processes have seen requests do to endpoints.
	quarantine *quarantine.Tracker
}

// Options are settings of our own, beside the platform's.
type Options struct {
	// MetricsPort is where counters are served; 0 is nowhere.
	MetricsPort int
	// LogLevel is the least level of log lines.
	LogLevel string
}

func newBase(settings *nodefile.Settings, options Options, role string) (*base, error) {
	logger, err := observe.NewLogger(observe.LogOptions{Level: options.LogLevel, Format: observe.FormatJSON, Output: os.Stdout})
	if err != nil {
		return nil, err
	}
	b := &base{
		settings: settings, metricsPort: options.MetricsPort, bounded: observe.Bound(logger), incarnation: newIncarnation(), counters: observe.NewCounters(),
		store: metastore.New(settings.Store), duties: duties.New(settings.Duties), peers: &peers{}, view: fleet.NewView(),
	}
	b.store.Traffic = b.countTraffic
	b.log = logger.WithFields(logrus.Fields{observe.FieldProcess: settings.Node, "role": role, "incarnation": b.incarnation})
	b.rows = &relay.Store{
		Direct: b.store, OnSwitch: b.tellDetour,
		OnRelayed: func() { b.counters.Add(observe.NameStoreDetours, observe.RowNone, 1) },
		Peers:     &others{node: settings.Node, own: settings.Engine, port: settings.PeerPort, view: b.view, peers: b.peers},
	}
	b.ledger = &batch.Ledger{Store: b.rows, RowBytes: settings.RowBytes, ObjectBytes: settings.ObjectBytes}
	return b, nil
}

// keepQuarantine makes the process's part of the quarantine, for which it asks
// endpoints by a prober.
func (b *base) keepQuarantine(prober quarantine.Prober) *quarantine.Tracker {
	k := quarantine.New()
	k.Rows, k.Clock, k.Prober, k.Process, k.Log, k.Counters = b.rows, b.store.Now, prober, b.settings.Node, b.log, b.counters
	b.quarantine = k
	return k
}

// tellDetour logs that calls to the store begin to go through agents, or end to.
func (b *base) tellDetour(detouring bool) {
	log := b.log.WithField("dependency", "store")
	if detouring {
		log.Warn("store reached through agents only")
		return
	}
	log.Info("store reached directly again")
}

// countTraffic counts a call to the store.
func (b *base) countTraffic(table string, sent, received int) {
	b.counters.Add(observe.NameStoreCalls, table, 1)
	b.counters.Add(observe.NameStoreSent, table, int64(sent))
	b.counters.Add(observe.NameStoreReceived, table, int64(received))
}

// trafficInterval spaces the log lines that tell the store's traffic.
const trafficInterval = 10 * time.Second

// tellTraffic logs what the store's calls have come to since the start.
func (b *base) tellTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
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

// newIncarnation names a start of a process.
func newIncarnation() string {
	var id [6]byte
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(id[:])
}

// follow keeps the view abreast until ctx ends.
func (b *base) follow(ctx context.Context, wg *sync.WaitGroup) {
	config := &configWatcher{view: b.view, log: b.log}
	instances := newInstanceWatcher(b.view, b.log)
	wg.Go(func() { b.serveMetrics(ctx, b.metricsPort) })
	wg.Go(func() { b.tellTraffic(ctx) })
	wg.Go(func() { b.quarantine.Run(ctx) })
	wg.Go(func() {
		store.Follow(ctx, b.rows, store.Source{Table: operator.TableOperator, Pace: operatorPace(b.settings)}, config)
	})
	wg.Go(func() {
		store.Follow(ctx, b.rows, store.Source{Table: operator.TableInstances, Pace: instancesPace(b.settings)}, instances)
	})
}
