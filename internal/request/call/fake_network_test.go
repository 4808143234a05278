package call

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// fakeNetwork connects routers to targets in memory.
type fakeNetwork struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	conns     map[string][]*pipeConn // routers' ends of the connections, by address
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{listeners: map[string]*pipeListener{}, conns: map[string][]*pipeConn{}}
}

// listen returns a listener for an address and replaces an earlier one.
func (n *fakeNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *fakeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
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

// blackhole discards all further data, in both directions, on the existing connections
// to an address. New connections work.
func (n *fakeNetwork) blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.blackholed.Store(true)
	}
}

// closeConns closes the connections to an address.
func (n *fakeNetwork) closeConns(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		_ = c.Close()
	}
	n.conns[address] = nil
}

// pipeConn is the router's end of a connection.
type pipeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (c *pipeConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pipeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
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
