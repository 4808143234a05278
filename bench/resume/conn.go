package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// byteCounter counts the bytes sent and received on connections.
type byteCounter struct {
	total atomic.Int64
}

// faultConn is a connection that counts its bytes and can be black-holed: writes are
// then discarded, and reads block until the connection is closed.
type faultConn struct {
	net.Conn
	traffic    *byteCounter
	blackholed atomic.Bool
	closed     chan struct{}
	closeOnce  sync.Once
}

func newFaultConn(conn net.Conn, t *byteCounter) *faultConn {
	return &faultConn{Conn: conn, traffic: t, closed: make(chan struct{})}
}

func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.traffic.total.Add(int64(n))
	return n, err
}

func (c *faultConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	c.traffic.total.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// faultNetwork opens connections that can be closed or black-holed together, and can
// refuse new ones.
type faultNetwork struct {
	traffic byteCounter

	mu        sync.Mutex // guards the fields below
	refuseNew bool
	conns     []*faultConn
}

func (n *faultNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	refuseNew := n.refuseNew
	n.mu.Unlock()
	if refuseNew {
		return nil, errors.New("connection refused")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := newFaultConn(conn, &n.traffic)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	return c, nil
}

// closeConns closes the open connections. refuseNew says whether later dials fail.
func (n *faultNetwork) closeConns(refuseNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuseNew = refuseNew
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// blackhole black-holes the open connections. New connections work normally.
func (n *faultNetwork) blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.blackholed.Store(true)
	}
}
