// Package target connects a router to targets. It provides Connect clients over
// net/http that use HTTP/2 without TLS and detect dead connections with pings.
//
// net/http retries some requests on its own. Requests made with WithDispatch are never
// retried: see Dispatch.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/ending"
)

// Limits of a connection to a target.
const (
	dialTimeout     = time.Second
	sendPingTimeout = time.Second
	pingTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	// maxMessageBytes limits one message from a target, maxHeaderBytes its headers.
	maxMessageBytes = 8 << 20
	maxHeaderBytes  = 64 << 10
)

// DialFunc opens a connection to an IP:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a pool. The zero value uses HTTP/2 over TCP.
type Options struct {
	// Dial opens connections; nil means a TCP dialer.
	Dial DialFunc
	// HTTP1 selects HTTP/1.1 instead of HTTP/2.
	HTTP1 bool
	// OnReplaced, if not nil, is called with the address of each target whose connections
	// were replaced.
	OnReplaced func(address string)
}

// Clients holds the service clients of one target.
type Clients struct {
	Engine      chicoryv1connect.EngineServiceClient
	Transaction chicoryv1connect.TransactionServiceClient
	Target      chicoryv1connect.TargetServiceClient

	// connections are those that were current when Pool.Clients returned.
	connections *connectionSet
}

// Pool holds clients by target address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu        sync.Mutex // guards endpoints
	endpoints map[string]*endpoint
}

// NewPool returns an empty pool that uses HTTP/2. If dial is nil, it uses TCP.
func NewPool(dial DialFunc) *Pool {
	return NewPoolWith(Options{Dial: dial})
}

// NewPoolWith returns an empty pool with the given options.
func NewPoolWith(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{opts: opts, endpoints: map[string]*endpoint{}}
}

// Clients returns the clients of the target at address (IP:port). They stay valid after
// ReplaceConnections and then use a new connection.
func (p *Pool) Clients(address string) *Clients {
	return p.endpoint(address).currentClients()
}

// ReplaceStale returns new clients of the target at address after the connection that
// stale used was broken or stopped responding. The next request opens a new connection,
// unless another caller has already replaced the old one. Requests in flight on the old
// connection continue.
func (p *Pool) ReplaceStale(address string, stale *Clients) *Clients {
	e := p.endpoint(address)
	e.replace(stale.connections)
	return e.currentClients()
}

// ReplaceConnections makes the next request to address open a new connection. Requests
// and streams in flight continue on the old one, which is closed after the last of them.
func (p *Pool) ReplaceConnections(address string) {
	e := p.endpoint(address)
	e.replace(e.current.Load())
}

// Close closes idle connections. Requests in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.swap(e.current.Load())
	}
}

// endpoint returns the endpoint for address and creates it on first use.
func (p *Pool) endpoint(address string) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.endpoints[address]; ok {
		return e
	}
	e := newEndpoint(p.opts, address)
	p.endpoints[address] = e
	return e
}

// newTransport returns a transport that shares no connections with others.
func newTransport(opts Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(opts.HTTP1)
	protocols.SetUnencryptedHTTP2(!opts.HTTP1)
	dial := opts.Dial
	if opts.HTTP1 {
		dial = dialWithKnownEnd(dial)
	}
	return &http.Transport{
		DialContext:            dial,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	}
}

// dialWithKnownEnd returns a DialFunc whose connections tell an end by the target from a reset: a
// response of HTTP/1.1 may end with its connection, while the request is still being written.
func dialWithKnownEnd(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ending.New(c), nil
	}
}
