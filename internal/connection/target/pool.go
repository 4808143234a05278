// Package target connects a router to targets: Connect clients over net/http,
// with HTTP/2 without TLS and pings that find connections which went silent.
package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

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

// Clients are the services of one target.
type Clients struct {
	Engine      chicoryv1connect.EngineServiceClient
	Transaction chicoryv1connect.TransactionServiceClient
	Target      chicoryv1connect.TargetServiceClient

	transport *http.Transport
}

// Pool keeps clients by target address. It is safe for concurrent use.
type Pool struct {
	transport *http.Transport

	mu      sync.Mutex // guards the fields below
	clients map[string]*Clients
}

// NewPool returns an empty pool. A nil dial uses TCP.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext:        dial,
		Protocols:          p,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	}
	return &Pool{
		transport: t,
		clients:   map[string]*Clients{},
	}
}

// Clients returns the clients of the target at address (IP:port).
func (p *Pool) Clients(address string) *Clients {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	c := newClients(p.transport, address)
	p.clients[address] = c
	return c
}

func newClients(transport *http.Transport, address string) *Clients {
	client := &http.Client{Transport: transport}
	url := "http://" + address
	// Compressing single tokens costs more time and bytes than it saves.
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	return &Clients{
		transport:   transport,
		Engine:      chicoryv1connect.NewEngineServiceClient(client, url, plain),
		Transaction: chicoryv1connect.NewTransactionServiceClient(client, url),
		Target:      chicoryv1connect.NewTargetServiceClient(client, url),
	}
}

// Close closes idle connections. Requests in flight go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
	for _, c := range p.clients {
		c.transport.CloseIdleConnections()
	}
}
