package main

import (
	"time"

	"mulberryscale.example/daemon/process"
	"mulberryscale.example/membership"
	"mulberryscale.example/rollout"
	"mulberryscale.example/service/entry"
	"mulberryscale.example/settings"
)

// entrySettings holds the program's settings; they are valid once set.Check has passed.
type entrySettings struct {
	process.Settings
	set *settings.Set

	listen, peerListen *string
	table, instances   *string

	subset        *int
	maxBody       *int64
	retention     *time.Duration
	headerTimeout *time.Duration
	idleTimeout   *time.Duration
	unreadyDelay  *time.Duration
}

func newSettings() *entrySettings {
	set := settings.NewSet("mulberry-entry")
	s := &entrySettings{set: set, Settings: process.Declare(set)}
	s.listen = set.IPPort("listen", "127.0.0.1:8080", "address for callers and trainers (TCP)")
	s.peerListen = set.IPPort("peer-listen", "127.0.0.1:7000", "address for peer processes (UDP)")
	s.table = set.RequiredURL("table-service", "address of the table service")
	s.instances = set.RequiredURL("instance-list", "address of the instance list")
	s.declareLimits()
	return s
}

func (s *entrySettings) declareLimits() {
	set := s.set
	s.subset = set.Int("subset", membership.DefaultSubset, 1, 4096, "most agents that this entry watches")
	s.maxBody = set.Bytes("max-body", entry.DefaultMaxBody, 1<<10, 1<<30, "largest body of a request")
	s.retention = set.Duration("linger", rollout.DefaultRetention, time.Second, time.Hour,
		"how long agents keep a trainer's samples after this entry is gone")
	s.headerTimeout = set.Duration("header-timeout", 5*time.Second, 100*time.Millisecond, time.Minute,
		"how long a caller may take for its headers")
	s.idleTimeout = set.Duration("idle-timeout", time.Minute, time.Second, time.Hour, "how long an idle connection is kept")
	s.unreadyDelay = set.Duration("unready-delay", 2*time.Second, 0, time.Minute,
		"how long this entry reports unready before it drains, so that the load balancer notices")
}
