package call

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// network connects routers to targets in memory.
type network struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	conns     map[string][]*pipeConn // by address, the routers' ends
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, conns: map[string][]*pipeConn{}}
}

// listen returns a listener of an address; it replaces a closed one.
func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &pipeConn{Conn: ours}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], c)
	return c, nil
}

// silence loses all that is sent over the connections to an address from now on,
// either way. New connections work.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
}

// cut closes the connections to an address.
func (n *network) cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		_ = c.Close()
	}
	n.conns[address] = nil
}

// pipeConn is a router's end of a connection.
type pipeConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *pipeConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pipeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
