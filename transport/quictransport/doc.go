// Package quictransport implements transport over QUIC with mutual TLS: one
// connection for each dialer and address, one QUIC stream for each message stream.
//
// A peer that stops responding is detected after IdleTimeout: dialers send
// keep-alive packets, listeners only answer them. A listener that crashed and
// restarts on its address with the same private key resets its predecessor's
// connections (QUIC stateless reset) as soon as a peer sends a request on them. A
// peer that only waits sends packets too small to be answered by a reset, and
// detects the restart after IdleTimeout.
//
// Closing a connection discards the messages that its peer has not read yet. So
// a stream whose handler has returned counts as served once its opener has closed
// it too, by Close or CloseSend, at the latest after PeerCloseTimeout. Openers
// should therefore call Close once they have read everything, and CloseSend
// before that only where the last answer may be lost when the listener stops.
package quictransport

import (
	"time"

	"github.com/quic-go/quic-go"
)

// Timeouts and intervals of a connection.
const (
	// HandshakeTimeout is how long Open waits for a new connection.
	HandshakeTimeout = time.Second
	// IdleTimeout is how long a connection may receive no packet before it is
	// considered lost.
	IdleTimeout = 3 * time.Second
	// KeepAlive is the interval of a dialer's keep-alive packets.
	KeepAlive = time.Second
	// PeerCloseTimeout is how long a stream whose handler has returned waits
	// for its opener to close it too.
	PeerCloseTimeout = time.Second
	// FlushGrace is how long after the last handler's return a listener's Close
	// keeps connections open, so that the handler's messages reach their peers.
	FlushGrace = 200 * time.Millisecond
	// UnusedTimeout is how long a dialer keeps a connection without streams.
	UnusedTimeout = time.Minute
)

// Limits of the resources that one peer can occupy.
const (
	MaxStreams          = 8192     // streams of one connection that a dialer may have open
	maxStreamWindow     = 4 << 20  // bytes received and not yet read, by stream
	maxConnectionWindow = 32 << 20 // bytes received and not yet read, by connection
)

// Stream error codes on the wire. To QUIC, a stream whose handler has returned and
// one that was cancelled differ only in the code.
const (
	streamDone      quic.StreamErrorCode = 0 // the handler has returned
	streamCancelled quic.StreamErrorCode = 1 // the peer called Close
)

// Connection error codes on the wire.
const (
	connectionClosed quic.ApplicationErrorCode = 0
	connectionUnused quic.ApplicationErrorCode = 1
)

// NoKeepAlive as Options.KeepAlive disables keep-alive packets: connections
// without traffic are closed after the idle timeout.
const NoKeepAlive time.Duration = -1

// Options overrides the timeouts and limits of a dialer or listener; zero values
// mean the constants of this package.
type Options struct {
	HandshakeTimeout time.Duration
	IdleTimeout      time.Duration
	KeepAlive        time.Duration
	UnusedTimeout    time.Duration
	MaxStreams       int64 // of a listener
}

func (o Options) withDefaults() Options {
	setDefault(&o.HandshakeTimeout, HandshakeTimeout)
	setDefault(&o.IdleTimeout, IdleTimeout)
	if o.KeepAlive != NoKeepAlive {
		setDefault(&o.KeepAlive, KeepAlive)
	}
	setDefault(&o.UnusedTimeout, UnusedTimeout)
	setDefault(&o.MaxStreams, MaxStreams)
	return o
}

func setDefault[T ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (o Options) listenConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       o.HandshakeTimeout,
		MaxIdleTimeout:             o.IdleTimeout,
		MaxIncomingStreams:         o.MaxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}

func (o Options) dialConfig() *quic.Config {
	c := o.listenConfig()
	c.MaxIncomingStreams = -1
	c.KeepAlivePeriod = max(0, o.KeepAlive)
	return c
}
