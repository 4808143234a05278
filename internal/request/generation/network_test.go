package generation

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// faultConn is one end of a connection that can be muted: it then discards all bytes
// but stays open.
type faultConn struct {
	net.Conn
	once   sync.Once
	muted  chan struct{}
	closed chan struct{}
}

func newFaultConn(c net.Conn) *faultConn {
	return &faultConn{Conn: c, muted: make(chan struct{}), closed: make(chan struct{})}
}

func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.muted:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *faultConn) Write(b []byte) (int, error) {
	select {
	case <-c.muted:
		return len(b), nil // lost
	default:
		return c.Conn.Write(b)
	}
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// engine is a simulated engine that is reached over connections in memory.
type engine struct {
	*standin.Replica
	address  string
	listener *pipeListener
	server   *http.Server
}

func startEngine(opts standin.Options) *engine {
	e := &engine{
		Replica:  standin.NewReplica(opts),
		address:  opts.Address,
		listener: newPipeListener(),
	}
	e.server = standin.NewServer(e.Replica)
	go func() { _ = e.server.Serve(e.listener) }()
	return e
}

// kill stops the engine the way a crash does.
func (e *engine) kill() {
	_ = e.listener.Close()
	_ = e.server.Close()
	e.Close()
}

// network connects one router to the engines.
type network struct {
	engines map[string]*engine

	mu    sync.Mutex // guards the fields below
	down  bool
	conns []*faultConn
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.engines[address]
	if n.down || e == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case e.listener.conns <- server:
	case <-e.listener.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := newFaultConn(client)
	n.conns = append(n.conns, c)
	return c, nil
}

// mute mutes the connections that are open now.
func (n *network) mute() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		select {
		case <-c.muted:
		default:
			close(c.muted)
		}
	}
}

// cut closes the open connections. If down is set, all later dials fail.
func (n *network) cut(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = n.down || down
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}
