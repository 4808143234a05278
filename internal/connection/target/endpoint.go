package target

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// endpoint is one target address. Its requests use the current generation of
// connections.
type endpoint struct {
	opts    Options
	address string
	clients *Clients
	current atomic.Pointer[generation]
}

func newEndpoint(opts Options, address string) *endpoint {
	e := &endpoint{opts: opts, address: address}
	e.current.Store(newGeneration(opts))
	client := &http.Client{
		Transport: e,
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	url := "http://" + address
	// Messages of a few hundred bytes cost more to compress than to send.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	e.clients = &Clients{
		Engine:      chicoryv1connect.NewEngineServiceClient(client, url, plain),
		Transaction: chicoryv1connect.NewTransactionServiceClient(client, url, plain),
		Target:      chicoryv1connect.NewTargetServiceClient(client, url, plain),
	}
	return e
}

// clientsNow returns the clients with the current generation.
func (e *endpoint) clientsNow() *Clients {
	c := *e.clients
	c.since = e.current.Load()
	return &c
}

// RoundTrip implements http.RoundTripper over the current generation.
func (e *endpoint) RoundTrip(req *http.Request) (*http.Response, error) {
	g := e.acquire()
	if d := dispatchOf(req.Context()); d != nil {
		once, err := d.start(e, g, req)
		if err != nil {
			g.release()
			return nil, err
		}
		req = once
	}
	resp, err := g.transport.RoundTrip(req)
	if err != nil {
		g.release()
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: g.release}
	return resp, nil
}

// acquire counts a request into the current generation.
func (e *endpoint) acquire() *generation {
	for {
		if g := e.current.Load(); g.acquire() {
			return g
		}
	}
}

// replace puts a new generation in the place of old, if old is still current, and
// tells of it.
func (e *endpoint) replace(old *generation) {
	if e.swap(old) && e.opts.OnReplaced != nil {
		e.opts.OnReplaced(e.address)
	}
}

// swap puts a new generation in the place of old and reports false when old was
// not current any more.
func (e *endpoint) swap(old *generation) bool {
	if !e.current.CompareAndSwap(old, newGeneration(e.opts)) {
		return false
	}
	old.retire()
	return true
}

// generation is a transport whose connections are replaced together.
type generation struct {
	transport *http.Transport

	mu       sync.Mutex // guards the fields below
	inFlight int
	retired  bool
}

func newGeneration(opts Options) *generation {
	return &generation{transport: newTransport(opts)}
}

// acquire reports false when the generation takes no more requests.
func (g *generation) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retired {
		return false
	}
	g.inFlight++
	return true
}

func (g *generation) release() {
	g.mu.Lock()
	g.inFlight--
	last := g.retired && g.inFlight == 0
	g.mu.Unlock()
	if last {
		g.transport.CloseIdleConnections()
	}
}

func (g *generation) retire() {
	g.mu.Lock()
	g.retired = true
	g.mu.Unlock()
	g.transport.CloseIdleConnections()
}

// releasingBody counts its request out of the generation when it is closed.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close closes the body and releases the generation once.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
