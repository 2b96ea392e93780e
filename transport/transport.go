// Package transport is the seam between our processes: message streams over
// connections whose peers have proved who they are. Implementations are in the
// packages below: quictransport for processes, memtransport for tests.
package transport

import (
	"context"
	"io"
)

// PeerID names a process of the system, as its certificate does.
type PeerID string

// Stream carries messages both ways, in order. Send and Recv may be called by
// one goroutine each at a time.
type Stream interface {
	// Send writes one message, encoded as CBOR.
	Send(msg any) error
	// Recv reads one message. It returns io.EOF after the peer's CloseSend.
	Recv(msg any) error
	// CloseSend ends this side's messages; the other direction stays open.
	CloseSend() error
	// Close gives up both directions at once; the peer's Recv fails.
	Close() error
	// Peer is the authenticated peer.
	Peer() PeerID
	// Context ends when the stream is closed by either side or its connection is lost.
	Context() context.Context
}

// Dialer opens streams to peers and keeps a connection per address between them.
// It is safe for concurrent use.
type Dialer interface {
	// Open opens a stream to the peer at addr ("ip:port"). An error means
	// that nothing was sent.
	Open(ctx context.Context, addr string) (Stream, error)
	io.Closer
}

// Handler serves one stream; the stream is closed when it returns.
type Handler func(ctx context.Context, s Stream)

// Listener accepts streams of authenticated peers.
type Listener interface {
	// Serve calls h in a goroutine for each stream until ctx ends or the
	// listener is closed, then waits for the handlers that still run.
	Serve(ctx context.Context, h Handler) error
	// Addr is the address listened on, "ip:port".
	Addr() string
	io.Closer
}
