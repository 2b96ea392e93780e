package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// linkState is the network fault that a link simulates. The zero value forwards
// everything at once.
type linkState struct {
	// delay is added to each read, in either direction.
	delay time.Duration
	// cutUp holds back the bytes of clients, cutDown those of the server.
	cutUp, cutDown bool
	// refuse makes the link reset new connections.
	refuse bool
}

// link is a loopback proxy between clients and one server.
type link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	changed  *sync.Cond
	state    linkState
	pipes    map[*pipe]struct{}
}

// pipe is one connection through a link.
type pipe struct {
	client, server net.Conn
	// silent pipes forward nothing until they are closed.
	silent, closed bool
}

// newLink listens at addr and forwards connections to target.
func newLink(addr, target string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &link{addr: addr, listener: l, target: target, pipes: map[*pipe]struct{}{}}
	k.changed = sync.NewCond(&k.mu)
	go k.accept(l)
	return k, nil
}

func (k *link) close() {
	k.stopListening()
	k.reset()
}

// stopListening makes the address refuse connections, as that of a crashed server does.
func (k *link) stopListening() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
}

// listenAgain accepts connections after stopListening.
func (k *link) listenAgain() error {
	l, err := net.Listen("tcp", k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener = l
	go k.accept(l)
	return nil
}

// set changes the state of all connections.
func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	k.changed.Broadcast()
}

// silence stops the open connections from forwarding for good; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		p.silent = true
	}
}

// reset resets the open connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pipes {
		k.closePipe(p, true)
	}
}

// closePipe closes both sides of a connection, with a TCP reset if reset is set. k.mu is held.
func (k *link) closePipe(p *pipe, reset bool) {
	if p.closed {
		return
	}
	p.closed = true
	delete(k.pipes, p)
	for _, c := range []net.Conn{p.client, p.server} {
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	k.changed.Broadcast()
}

func (k *link) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		refuse := k.state.refuse
		k.mu.Unlock()
		if refuse {
			client.(*net.TCPConn).SetLinger(0)
			client.Close()
			continue
		}
		go k.connect(client)
	}
}

func (k *link) connect(client net.Conn) {
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	p := &pipe{client: client, server: server}
	k.mu.Lock()
	k.pipes[p] = struct{}{}
	k.mu.Unlock()
	go k.copy(p, server, client, true)
	go k.copy(p, client, server, false)
}

// copy forwards one direction until either side closes.
func (k *link) copy(p *pipe, to, from net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !k.awaitForwardable(p, up) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			k.mu.Lock()
			k.closePipe(p, !errors.Is(err, io.EOF))
			k.mu.Unlock()
			return
		}
	}
}

// awaitForwardable waits until bytes may be forwarded, and reports whether the connection is
// still open.
func (k *link) awaitForwardable(p *pipe, up bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if d := k.state.delay; d > 0 {
		k.mu.Unlock()
		time.Sleep(d)
		k.mu.Lock()
	}
	for !p.closed && (p.silent || (up && k.state.cutUp) || (!up && k.state.cutDown)) {
		k.changed.Wait()
	}
	return !p.closed
}
