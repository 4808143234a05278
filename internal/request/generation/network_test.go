package generation

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// cutConn is one end of a connection whose bytes can be held back for good.
type cutConn struct {
	net.Conn
	once  sync.Once
	muted chan struct{}
	ended chan struct{}
}

func newCutConn(c net.Conn) *cutConn {
	return &cutConn{Conn: c, muted: make(chan struct{}), ended: make(chan struct{})}
}

func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.muted:
		<-c.ended
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *cutConn) Write(b []byte) (int, error) {
	select {
	case <-c.muted:
		return len(b), nil // lost on the way
	default:
		return c.Conn.Write(b)
	}
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.ended) })
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

// engine is one stand-in engine over connections in memory.
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

// kill ends the engine as a crash does.
func (e *engine) kill() {
	_ = e.listener.Close()
	_ = e.server.Close()
	e.Close()
}

// network is how one router reaches the engines.
type network struct {
	engines map[string]*engine

	mu    sync.Mutex // guards the fields below
	down  bool
	conns []*cutConn
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
	c := newCutConn(client)
	n.conns = append(n.conns, c)
	return c, nil
}

// mute holds back all bytes of the connections that are open now.
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

// cut closes the open connections; down refuses new ones for good.
func (n *network) cut(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = n.down || down
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}
