// Package quictransport carries the message streams of our processes over QUIC
// with mutual TLS, one connection per dialer and address, one QUIC stream per
// message stream.
//
// A peer that falls silent is noticed after IdleTimeout: dialers keep their
// connections alive, listeners only answer. A listener that was killed and
// starts again on its address with its private key resets the connections of
// the process before as soon as a peer sends a request on them; a peer that
// only waits sends packets too small to be answered by a reset, and notices
// after IdleTimeout.
//
// A connection that is closed takes with it what its peer has not read yet. So
// a stream whose handler has returned counts as served when its opener has
// ended it too, by Close or CloseSend, at the latest after PeerCloseTimeout. Those
// who open streams should therefore Close them once they have read all, and
// CloseSend before that only where the last answer may be lost in a stop.
package quictransport

import (
	"time"

	"github.com/quic-go/quic-go"
)

// Times of a connection.
const (
	// HandshakeTimeout is how long Open waits for a new connection.
	HandshakeTimeout = time.Second
	// IdleTimeout is after how long of silence a connection is lost.
	IdleTimeout = 3 * time.Second
	// KeepAlive is how often a dialer shows that it lives.
	KeepAlive = time.Second
	// PeerCloseTimeout is how long a stream whose handler has returned waits
	// for its opener to end it too.
	PeerCloseTimeout = time.Second
	// FlushGrace is how long Close leaves the messages of the handlers that
	// returned last to reach their peers.
	FlushGrace = 200 * time.Millisecond
	// UnusedTimeout is how long a dialer keeps a connection without streams.
	UnusedTimeout = time.Minute
)

// Bounds on what one peer can make us hold.
const (
	MaxStreams          = 8192     // streams of one connection that a dialer may have open
	maxStreamWindow     = 4 << 20  // bytes received and not yet read, by stream
	maxConnectionWindow = 32 << 20 // bytes received and not yet read, by connection
)

// Error codes on the wire. A stream that ends well and is given up look
// alike to QUIC but for the code.
const (
	streamDone    quic.StreamErrorCode = 0 // the handler has returned
	streamGivenUp quic.StreamErrorCode = 1 // the peer called Close
)

const (
	connectionClosed quic.ApplicationErrorCode = 0
	connectionUnused quic.ApplicationErrorCode = 1
)

// NoKeepAlive as an Options.KeepAlive sends nothing on connections without calls:
// they end after the idle timeout.
const NoKeepAlive time.Duration = -1

// Options changes the bounds of a dialer or listener; zero values mean the
// constants of this package.
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
