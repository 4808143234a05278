// Package target connects a router to targets: Connect clients over net/http,
// with HTTP/2 without TLS and pings that find connections which went silent.
//
// The transports resend some requests by themselves. A request made under
// WithDispatch can't be resent: see Dispatch.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// Bounds of a connection to a target.
const (
	dialTimeout     = time.Second
	sendPingTimeout = time.Second
	pingTimeout     = time.Second
	idleTimeout     = 90 * time.Second
)

// DialFunc opens a connection to an IP:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options describe a pool. The zero value speaks HTTP/2 over TCP.
type Options struct {
	// Dial opens connections; nil uses TCP.
	Dial DialFunc
	// HTTP1 speaks HTTP/1.1 instead of HTTP/2.
	HTTP1 bool
	// OnReplaced is told of each target whose connections were replaced; nil: nobody.
	OnReplaced func(address string)
}

// Clients are the services of one target.
type Clients struct {
	Engine      chicoryv1connect.EngineServiceClient
	Transaction chicoryv1connect.TransactionServiceClient
	Target      chicoryv1connect.TargetServiceClient

	// since is the generation of connections when the clients were asked for.
	since *generation
}

// Pool keeps clients by target address. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu        sync.Mutex // guards endpoints
	endpoints map[string]*endpoint
}

// NewPool returns an empty pool that speaks HTTP/2. A nil dial uses TCP.
func NewPool(dial DialFunc) *Pool {
	return NewPoolWith(Options{Dial: dial})
}

// NewPoolWith returns an empty pool.
func NewPoolWith(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{opts: opts, endpoints: map[string]*endpoint{}}
}

// Clients returns the clients of the target at address (IP:port). They stay
// valid after Drop and then use a new connection.
func (p *Pool) Clients(address string) *Clients {
	return p.endpoint(address).clientsNow()
}

// Fresh returns clients of the target at address after the connection that stale
// used went silent or was cut: the next request dials anew, unless another caller
// has replaced that connection already. Requests in flight on it go on.
func (p *Pool) Fresh(address string, stale *Clients) *Clients {
	e := p.endpoint(address)
	e.replace(stale.since)
	return e.clientsNow()
}

// Drop makes the next request to address dial anew. Requests and streams in
// flight go on over their connection, which is closed after the last of them.
func (p *Pool) Drop(address string) {
	e := p.endpoint(address)
	e.replace(e.current.Load())
}

// Close closes idle connections. Requests in flight go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.swap(e.current.Load())
	}
}

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

// newTransport returns a transport with connections of its own.
func newTransport(opts Options) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(opts.HTTP1)
	protocols.SetUnencryptedHTTP2(!opts.HTTP1)
	return &http.Transport{
		DialContext:        opts.Dial,
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	}
}
