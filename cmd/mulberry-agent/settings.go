package main

import (
	"errors"
	"time"

	"mulberryscale.example/observe"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/settings"
	"mulberryscale.example/weights"
)

// defaultDrainTimeout leaves room for a step that takes the 6 minutes of the
// longest deadlines.
const defaultDrainTimeout = 10 * time.Minute

// agentSettings are the program's settings; they hold once set.Check has passed.
type agentSettings struct {
	set *settings.Set

	id, zone, listen *string
	engine, service  *string
	services, models *[]string
	table, weights   *string
	instances        *string
	ca, cert, key    *string
	logLevel         *string
	logFormat        *string
	admin            *string
	adminToken       *string

	reserve, maxQueue  *int
	serviceConcurrency *int
	maxResults         *int64
	targetInterval     *time.Duration
	loadTimeout        *time.Duration
	swapWindow         *time.Duration
	drainTimeout       *time.Duration
}

func newSettings() *agentSettings {
	set := settings.NewSet("mulberry-agent")
	s := &agentSettings{set: set}
	s.id = set.RequiredString("id", "instance id, as in the certificate")
	s.zone = set.Zone("zone", "availability zone of this instance")
	s.listen = set.IPPort("listen", "127.0.0.1:7100", "address for our processes (UDP)")
	s.engine = set.URL("engine", "", "address of the model engine")
	s.service = set.URL("service", "", "address of the plain service")
	s.services = set.List("services", "", "rows of the table that the plain service serves")
	s.models = set.List("models", "", "models to load besides those that the engine has")
	s.table = set.URL("table-service", "", "address of the table service, for fencing numbers")
	s.weights = set.URL("weight-store", "", "address of the weight store; none: no orders to load")
	s.instances = set.URL("instance-list", "", "address of the instance list, to spread weights among agents; none: each agent polls the weight store")
	s.ca = set.RequiredFile("ca", "certificates of the authorities of our processes, PEM")
	s.cert = set.RequiredFile("cert", "certificate of this process, PEM")
	s.key = set.RequiredFile("key", "private key of this process, PEM")
	s.logLevel = set.Choice("log-level", observe.DefaultLevel, "least level of log lines", "error", "warning", "info", "debug")
	s.logFormat = set.Choice("log-format", observe.FormatText, "form of log lines", observe.FormatText, observe.FormatJSON)
	s.admin = set.IPPort("admin", "", "operators' HTTP address; none: no listener")
	s.adminToken = set.Secret("admin-token", "bearer token of operators' calls")
	s.declareLimits()
	set.Rule(s.check)
	return s
}

func (s *agentSettings) declareLimits() {
	set := s.set
	s.reserve = set.Int("interactive-reserve", agent.DefaultInteractiveReserve, 0, 1024,
		"slots kept free of training while interactive rows are active")
	s.maxQueue = set.Int("max-queue", agent.DefaultMaxQueue, 1, 1<<20, "waiting requests of all rows")
	s.serviceConcurrency = set.Int("service-concurrency", agent.DefaultServiceConcurrency, 1, 1<<16,
		"calls of the plain service that run at once")
	s.maxResults = set.Bytes("max-results", 24<<20, 1<<20, 1<<32, "memory for results that wait for their readers")
	s.targetInterval = set.Duration("target-interval", agent.DefaultTargetInterval, 100*time.Millisecond, time.Hour,
		"how often the weight store is asked for new versions")
	s.swapWindow = set.Duration("swap-window", weights.DefaultSwapWindow, time.Second, time.Hour,
		"time over which the engines of a rolling swap take turns")
	s.loadTimeout = set.Duration("load-timeout", agent.DefaultLoadTimeout, time.Second, time.Hour, "how long an engine may load")
	s.drainTimeout = set.Duration("drain-timeout", defaultDrainTimeout, time.Second, 24*time.Hour,
		"how long running requests may take to end at a stop")
}

// check holds over several settings.
func (s *agentSettings) check() error {
	if (*s.engine == "") == (*s.service == "") {
		return errors.New("want exactly one of engine and service")
	}
	if *s.service != "" && len(*s.services) == 0 {
		return errors.New("service needs services, the rows that it serves")
	}
	if *s.weights != "" && *s.table == "" {
		return errors.New("weight-store needs table-service, which gives the fencing numbers of orders to load")
	}
	return nil
}
