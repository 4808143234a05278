package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// traffic counts the bytes of connections, both ways.
type traffic struct {
	bytes atomic.Int64
}

// wire is a connection that counts its bytes and can be muted: what is written
// then is lost, and nothing is read any more.
type wire struct {
	net.Conn
	traffic *traffic
	muted   atomic.Bool
	ended   chan struct{}
	once    sync.Once
}

func newWire(c net.Conn, t *traffic) *wire {
	return &wire{Conn: c, traffic: t, ended: make(chan struct{})}
}

func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if w.muted.Load() {
		<-w.ended
		return 0, net.ErrClosed
	}
	w.traffic.bytes.Add(int64(n))
	return n, err
}

func (w *wire) Write(b []byte) (int, error) {
	if w.muted.Load() {
		return len(b), nil
	}
	w.traffic.bytes.Add(int64(len(b)))
	return w.Conn.Write(b)
}

func (w *wire) Close() error {
	w.once.Do(func() { close(w.ended) })
	return w.Conn.Close()
}

// network opens connections that can be cut, muted or refused together.
type network struct {
	traffic traffic

	mu    sync.Mutex // guards the fields below
	down  bool
	wires []*wire
}

func (n *network) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	n.mu.Lock()
	down := n.down
	n.mu.Unlock()
	if down {
		return nil, errors.New("connection refused")
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	w := newWire(c, &n.traffic)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wires = append(n.wires, w)
	return w, nil
}

// cut closes the open connections; with down, new ones are refused.
func (n *network) cut(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	for _, w := range n.wires {
		_ = w.Close()
	}
	n.wires = nil
}

// mute makes the open connections silent; new ones are well.
func (n *network) mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		w.muted.Store(true)
	}
}
