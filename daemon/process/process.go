// Package process holds what the programs of entry instances and agents share: the
// settings for identity, keys, logs and the operators' listener, and the listener and
// dialer of the internal transport.
package process

import (
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"mulberryscale.example/daemon"
	"mulberryscale.example/keys"
	"mulberryscale.example/observe"
	"mulberryscale.example/settings"
	"mulberryscale.example/transport"
	"mulberryscale.example/transport/quictransport"
)

// Settings are the common settings; their values are valid once the set has been checked.
type Settings struct {
	ID, Zone     *string
	DrainTimeout *time.Duration

	ca, cert, key     *string
	logLevel          *string
	logFormat         *string
	admin, adminToken *string
}

// Declare adds the common settings to a program's set.
func Declare(set *settings.Set) Settings {
	return Settings{
		ID:        set.RequiredString("id", "instance id, as in the certificate"),
		Zone:      set.Zone("zone", "availability zone of this instance"),
		ca:        set.RequiredFile("ca", "certificates of the authorities of our processes, PEM"),
		cert:      set.RequiredFile("cert", "certificate of this process, PEM"),
		key:       set.RequiredFile("key", "private key of this process, PEM"),
		logLevel:  set.Choice("log-level", observe.DefaultLevel, "least level of log lines", "error", "warning", "info", "debug"),
		logFormat: set.Choice("log-format", observe.FormatText, "form of log lines", observe.FormatText, observe.FormatJSON),
		admin:     set.IPPort("admin", "", "operators' HTTP address; none: no listener"),
		adminToken: set.Secret("admin-token",
			"bearer token of operators' calls"),
		DrainTimeout: set.Duration("drain-timeout", daemon.DefaultDrainTimeout, time.Second, 24*time.Hour,
			"how long running requests may take to end at a stop"),
	}
}

// Process holds a program's logger, counters and transport. Close must be called.
type Process struct {
	Log      *logrus.Logger
	Counters *observe.Counters
	Listener transport.Listener
	Dialer   transport.Dialer
}

// Open creates the logger and opens the transport at addr, "ip:port".
func (s *Settings) Open(addr string) (*Process, error) {
	log, err := observe.NewLogger(observe.LogOptions{Level: *s.logLevel, Format: *s.logFormat})
	if err != nil {
		return nil, err
	}
	source, err := keys.LoadFiles(*s.ca, *s.cert, *s.key, func(err error) {
		log.WithError(err).Warn("keys not read again; those in force stay")
	})
	if err != nil {
		return nil, trace.Wrap(err, "keys")
	}
	listener, err := quictransport.Listen(addr, source)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", addr)
	}
	return &Process{
		Log: log, Counters: observe.NewCounters(), Listener: listener, Dialer: quictransport.NewDialer(source),
	}, nil
}

// Close sends pending answers and closes all connections, so that peers learn at
// once that this incarnation has stopped.
func (p *Process) Close() {
	if err := errors.Join(p.Listener.Close(), p.Dialer.Close()); err != nil {
		p.Log.WithError(err).Warn("connections not closed in order")
	}
}

// Program returns a daemon.Program without the functions Serve, Drain and Ready.
func (s *Settings) Program(p *Process) daemon.Program {
	return daemon.Program{
		Name:         *s.ID,
		Log:          p.Log,
		Counters:     p.Counters,
		AdminAddr:    *s.admin,
		AdminToken:   *s.adminToken,
		DrainTimeout: *s.DrainTimeout,
	}
}
