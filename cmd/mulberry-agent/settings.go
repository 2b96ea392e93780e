package main

import (
	"errors"
	"time"

	"mulberryscale.example/daemon/process"
	"mulberryscale.example/service/agent"
	"mulberryscale.example/settings"
	"mulberryscale.example/weights"
)

// agentSettings holds the program's settings; they are valid once set.Check has passed.
type agentSettings struct {
	process.Settings
	set *settings.Set

	listen           *string
	engine, service  *string
	services, models *[]string
	table, weights   *string
	instances        *string

	reserve, maxQueue  *int
	serviceConcurrency *int
	maxResults         *int64
	targetInterval     *time.Duration
	loadTimeout        *time.Duration
	swapWindow         *time.Duration
}

func newSettings() *agentSettings {
	set := settings.NewSet("mulberry-agent")
	s := &agentSettings{set: set, Settings: process.Declare(set)}
	s.listen = set.IPPort("listen", "127.0.0.1:7100", "address for peer processes (UDP)")
	s.engine = set.URL("engine", "", "address of the model engine")
	s.service = set.URL("service", "", "address of the plain service")
	s.services = set.List("services", "", "rows of the table that the plain service serves")
	s.models = set.List("models", "", "models to load besides those that the engine has")
	s.table = set.URL("table-service", "", "address of the table service, for fencing tokens")
	s.weights = set.URL("weight-store", "", "address of the weight store; if empty, the agent sends its engine no load orders")
	s.instances = set.URL("instance-list", "", "address of the instance list, to spread weights among agents; if empty, each agent polls the weight store")
	s.declareLimits()
	set.Rule(s.check)
	return s
}

func (s *agentSettings) declareLimits() {
	set := s.set
	s.reserve = set.Int("interactive-reserve", 0, 0, 1024,
		"slots kept free of training while interactive rows are active, besides preemption")
	s.maxQueue = set.Int("max-queue", agent.DefaultMaxQueue, 1, 1<<20, "most requests that wait, over all rows")
	s.serviceConcurrency = set.Int("service-concurrency", agent.DefaultServiceConcurrency, 1, 1<<16,
		"calls of the plain service that run at once")
	s.maxResults = set.Bytes("max-results", 24<<20, 1<<20, 1<<32, "memory for results that are not read yet")
	s.targetInterval = set.Duration("target-interval", agent.DefaultTargetInterval, 100*time.Millisecond, time.Hour,
		"how often the weight store is asked for new versions")
	s.swapWindow = set.Duration("swap-window", weights.DefaultSwapWindow, time.Second, time.Hour,
		"time over which the engines of a rolling swap take turns")
	s.loadTimeout = set.Duration("load-timeout", agent.DefaultLoadTimeout, time.Second, time.Hour, "how long an engine may load")
}

// check checks the rules that involve several settings.
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
