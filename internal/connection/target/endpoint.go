package target

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsecheck"
)

// endpoint is one target address. It implements http.RoundTripper over its current
// connection set.
type endpoint struct {
	opts    Options
	address string
	clients *Clients
	current atomic.Pointer[connectionSet]
}

func newEndpoint(opts Options, address string) *endpoint {
	e := &endpoint{opts: opts, address: address}
	e.current.Store(newConnectionSet(opts))
	client := &http.Client{
		Transport: e,
		// Redirects are not followed: that would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	url := "http://" + address
	// Compressing messages of a few hundred bytes costs more than sending them.
	options := connect.WithClientOptions(connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
	e.clients = &Clients{
		Engine:      chicoryv1connect.NewEngineServiceClient(client, url, options),
		Transaction: chicoryv1connect.NewTransactionServiceClient(client, url, options),
		Target:      chicoryv1connect.NewTargetServiceClient(client, url, options),
	}
	return e
}

// currentClients returns clients that record the current connection set.
func (e *endpoint) currentClients() *Clients {
	c := *e.clients
	c.connections = e.current.Load()
	return &c
}

// RoundTrip implements http.RoundTripper.
func (e *endpoint) RoundTrip(req *http.Request) (*http.Response, error) {
	set := e.acquire()
	if d := dispatchOf(req.Context()); d != nil {
		unretryable, err := d.start(e, set, req)
		if err != nil {
			set.release()
			return nil, err
		}
		req = unretryable
	}
	resp, err := responsecheck.Transport{Base: set.transport}.RoundTrip(req)
	if err != nil {
		set.release()
		return nil, err
	}
	if !isStream(resp) {
		resp.Body = &limitedBody{ReadCloser: resp.Body, left: maxMessageBytes + 1}
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: set.release}
	return resp, nil
}

// acquire registers a request with the current connection set and returns the set.
func (e *endpoint) acquire() *connectionSet {
	for {
		if set := e.current.Load(); set.acquire() {
			return set
		}
	}
}

// replace installs a new connection set and calls OnReplaced, unless old is no longer
// current.
func (e *endpoint) replace(old *connectionSet) {
	if e.swap(old) && e.opts.OnReplaced != nil {
		e.opts.OnReplaced(e.address)
	}
}

// swap installs a new connection set and retires old. It reports false and changes
// nothing if old is no longer current.
func (e *endpoint) swap(old *connectionSet) bool {
	if !e.current.CompareAndSwap(old, newConnectionSet(e.opts)) {
		return false
	}
	old.retire()
	return true
}

// connectionSet is a transport whose connections are replaced together. It counts its
// requests, so that a retired set closes its connections after the last one.
type connectionSet struct {
	transport *http.Transport

	mu       sync.Mutex // guards the fields below
	inFlight int
	retired  bool // takes no new requests
}

func newConnectionSet(opts Options) *connectionSet {
	return &connectionSet{transport: newTransport(opts)}
}

// acquire registers a request. It reports false if the set is retired.
func (s *connectionSet) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.inFlight++
	return true
}

// release ends a request that acquire registered.
func (s *connectionSet) release() {
	s.mu.Lock()
	s.inFlight--
	last := s.retired && s.inFlight == 0
	s.mu.Unlock()
	if last {
		s.transport.CloseIdleConnections()
	}
}

// retire refuses new requests and closes idle connections.
func (s *connectionSet) retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.transport.CloseIdleConnections()
}

// releasingBody is a response body that releases its connection set when it is closed.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close closes the body and releases the connection set once.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
