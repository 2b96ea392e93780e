// Package transport defines how the processes of the system exchange messages:
// bidirectional message streams over mutually authenticated connections. The
// implementations are quictransport for processes and memtransport for tests.
package transport

import (
	"context"
	"io"
)

// PeerID is the id of a process of the system, as its certificate states it.
type PeerID string

// Stream carries messages in both directions, in order. At a time, one goroutine
// may call Send and another one Recv.
type Stream interface {
	// Send writes one message, encoded as CBOR.
	Send(msg any) error
	// Recv reads one message. It returns io.EOF after the peer's CloseSend.
	Recv(msg any) error
	// CloseSend closes the sending direction; the other direction stays open.
	CloseSend() error
	// Close cancels both directions at once; the peer's Recv fails.
	Close() error
	// Peer returns the id of the authenticated peer.
	Peer() PeerID
	// Context is cancelled when either side closes the stream or its connection is lost.
	Context() context.Context
}

// Dialer opens streams to peers and keeps one connection for each address, which
// successive streams share. It is safe for concurrent use.
type Dialer interface {
	// Open opens a stream to the peer at addr ("ip:port"). If it returns an
	// error, no message was sent.
	Open(ctx context.Context, addr string) (Stream, error)
	io.Closer
}

// Handler serves one stream; the stream is closed when it returns.
type Handler func(ctx context.Context, s Stream)

// Listener accepts streams of authenticated peers.
type Listener interface {
	// Serve calls h in a goroutine for each stream until ctx is cancelled or the
	// listener is closed, then waits for the handlers still running.
	Serve(ctx context.Context, h Handler) error
	// Addr returns the address listened on, "ip:port".
	Addr() string
	io.Closer
}
