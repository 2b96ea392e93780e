package quictransport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"mulberryscale.example/keys"
	"mulberryscale.example/transport"
)

// ErrDialerClosed is returned by Open after Close.
var ErrDialerClosed = errors.New("quictransport: dialer closed")

// maxOpenAttempts bounds Open: if a reused connection turns out to be lost, Open
// tries a new one once.
const maxOpenAttempts = 2

// NewDialer returns a dialer that authenticates with the source's certificate.
func NewDialer(source keys.Source) transport.Dialer {
	return NewDialerOptions(source, Options{})
}

// NewDialerOptions is NewDialer with options in place of this package's constants.
func NewDialerOptions(source keys.Source, options Options) transport.Dialer {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &dialer{
		options: options,
		tls:     source.ClientConfig(),
		quic:    options.dialConfig(),
		closed:  ctx,
		close:   cancel,
		conns:   make(map[string]*connection),
	}
}

// dialer is a transport.Dialer; all its connections share one UDP socket.
type dialer struct {
	options Options
	tls     *tls.Config
	quic    *quic.Config
	closed  context.Context
	close   context.CancelFunc

	mu        sync.Mutex
	transport *quic.Transport
	packets   *net.UDPConn
	conns     map[string]*connection // by address
	dialing   sync.WaitGroup
}

func (d *dialer) Open(ctx context.Context, addr string) (transport.Stream, error) {
	udpAddr, err := resolve(addr)
	if err != nil {
		return nil, err
	}
	for range maxOpenAttempts {
		var s transport.Stream
		var reused bool
		s, reused, err = d.open(ctx, addr, udpAddr)
		if err == nil {
			return s, nil
		}
		if !reused || ctx.Err() != nil {
			break
		}
	}
	return nil, trace.Wrap(err, "quictransport: open a stream to %s", addr)
}

// open makes one attempt and reports whether it used an existing connection.
func (d *dialer) open(ctx context.Context, addr string, udpAddr *net.UDPAddr) (s transport.Stream, reused bool, err error) {
	c, reused, err := d.connection(addr, udpAddr)
	if err != nil {
		return nil, false, err
	}
	defer c.release()
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, reused, context.Cause(ctx)
	}
	if c.err != nil {
		return nil, reused, c.err
	}
	qs, err := c.openStream(ctx)
	if err != nil {
		if ctx.Err() == nil {
			// The connection is lost. quic-go fails its streams before it cancels its
			// context, so the next attempt would get the same connection again.
			d.remove(addr, c)
		}
		return nil, reused, err
	}
	opened := newStream(c.conn, qs, c.peer)
	c.retainUntil(opened.ctx)
	return opened, reused, nil
}

// connection returns the address's connection with a reference for the caller. It
// dials a new one if there is none that is usable.
func (d *dialer) connection(addr string, udpAddr *net.UDPAddr) (c *connection, reused bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed.Err() != nil {
		return nil, false, ErrDialerClosed
	}
	if c, ok := d.conns[addr]; ok && c.acquire() {
		return c, true, nil
	}
	if err := d.openSocket(); err != nil {
		return nil, false, err
	}
	c = newConnection(d.options.UnusedTimeout)
	d.conns[addr] = c
	tr := d.transport
	d.dialing.Go(func() { d.dial(c, tr, addr, udpAddr) })
	return c, false, nil
}

// openSocket opens the UDP socket unless it is open. It is called with d.mu held.
func (d *dialer) openSocket() error {
	if d.transport != nil {
		return nil
	}
	packets, err := net.ListenUDP("udp", nil)
	if err != nil {
		return trace.Wrap(err, "open a UDP socket")
	}
	d.packets = packets
	d.transport = &quic.Transport{Conn: packets}
	return nil
}

// dial establishes the connection for all callers of Open that wait for it. It
// doesn't use their contexts, so that cancelling one doesn't fail the others.
func (d *dialer) dial(c *connection, tr *quic.Transport, addr string, udpAddr *net.UDPAddr) {
	ctx, cancel := context.WithTimeout(d.closed, d.options.HandshakeTimeout)
	defer cancel()
	conn, err := tr.Dial(ctx, udpAddr, d.tls, d.quic)
	if err != nil {
		c.setError(err)
		d.remove(addr, c)
		return
	}
	id, err := keys.PeerID(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(connectionClosed, "no process id") // no message was sent yet
		c.setError(err)
		d.remove(addr, c)
		return
	}
	context.AfterFunc(conn.Context(), func() { d.remove(addr, c) })
	c.setConn(conn, transport.PeerID(id))
}

func (d *dialer) remove(addr string, c *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[addr] == c {
		delete(d.conns, addr)
	}
}

func (d *dialer) Close() error {
	d.mu.Lock()
	alreadyClosed := d.closed.Err() != nil
	d.close()
	tr, packets := d.transport, d.packets
	conns := make([]*connection, 0, len(d.conns))
	for _, c := range d.conns {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	if alreadyClosed || tr == nil {
		return nil
	}
	d.dialing.Wait()
	for _, c := range conns {
		c.close(connectionClosed, "dialer closed")
	}
	return errors.Join(tr.Close(), packets.Close())
}
