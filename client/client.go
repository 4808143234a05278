package client

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// Default values of Options.
const (
	defaultStreamIdleTimeout = 1200 * time.Millisecond
	defaultFirstTokenTimeout = 15 * time.Second
	defaultRetryTimeout      = 2 * time.Minute
)

// Options configures a Client.
type Options struct {
	// Addresses are base URLs such as "http://10.0.0.1:8080", or IP:port for
	// HTTP/2 without TLS. The address of a load balancer is enough; several
	// addresses are used round-robin.
	Addresses []string
	// NewTransport returns a transport with its own connection pool. The client
	// creates a new one when it replaces a failed connection. Nil means HTTP/2,
	// without TLS for http addresses.
	NewTransport func() *http.Transport
	// Header is added to every request, for example to send the team's key.
	Header http.Header
	// StreamIdleTimeout is how long a stream may receive nothing before the client
	// reconnects; 0 means 1.2 s. It doubles with each attempt that brings no token.
	StreamIdleTimeout time.Duration
	// FirstTokenTimeout is how long the first token may take; 0 means 15 s.
	FirstTokenTimeout time.Duration
	// RetryTimeout is how long the client retries without receiving a new token;
	// for a call it limits the time over all attempts. 0 means 2 min.
	RetryTimeout time.Duration
}

// Client sends generations and calls to the routers. It is safe for concurrent use.
type Client struct {
	opts Options

	mu          sync.Mutex // guards the fields below
	current     *endpoint
	nextAddress int               // index into opts.Addresses, modulo its length
	replaced    []*http.Transport // the last maxReplaced; they may still have requests in flight
}

// endpoint is an address with its own connection pool.
type endpoint struct {
	url       string
	transport *http.Transport
	service   chicoryv1connect.CallerServiceClient
}

// New returns a client. It fails if opts has no address.
func New(opts Options) (*Client, error) {
	if len(opts.Addresses) == 0 {
		return nil, errors.New("client: Options.Addresses is empty")
	}
	if opts.NewTransport == nil {
		opts.NewTransport = newTransport
	}
	if opts.StreamIdleTimeout == 0 {
		opts.StreamIdleTimeout = defaultStreamIdleTimeout
	}
	if opts.FirstTokenTimeout == 0 {
		opts.FirstTokenTimeout = defaultFirstTokenTimeout
	}
	if opts.RetryTimeout == 0 {
		opts.RetryTimeout = defaultRetryTimeout
	}
	c := &Client{opts: opts}
	c.current = c.newEndpoint()
	return c, nil
}

func newTransport() *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	p.SetHTTP2(true)
	return &http.Transport{
		Protocols:          p,
		DisableCompression: true,
		IdleConnTimeout:    90 * time.Second,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: time.Second,
			PingTimeout:     time.Second,
		},
	}
}

// maxMessageBytes limits one message from a router.
const maxMessageBytes = 8 << 20

// newEndpoint returns an endpoint for the next address. The caller holds mu, or no
// other goroutine can use c yet.
func (c *Client) newEndpoint() *endpoint {
	url := c.opts.Addresses[c.nextAddress%len(c.opts.Addresses)]
	c.nextAddress++
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	t := c.opts.NewTransport()
	return &endpoint{
		url:       url,
		transport: t,
		// Compressing messages of a single token costs more time and bytes than it saves.
		service: chicoryv1connect.NewCallerServiceClient(&http.Client{Transport: t}, url,
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

// endpoint returns the current endpoint.
func (c *Client) endpoint() *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// replaceEndpoint switches to a new connection to the next address, unless another
// request has already replaced e. Requests in flight on e continue.
func (c *Client) replaceEndpoint(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != e {
		return
	}
	for _, t := range c.replaced {
		t.CloseIdleConnections()
	}
	if len(c.replaced) == maxReplaced {
		c.replaced = c.replaced[1:]
	}
	c.replaced = append(c.replaced, e.transport)
	c.current = c.newEndpoint()
}

// maxReplaced limits how many replaced transports are kept for Close.
const maxReplaced = 16

// Close closes idle connections. Requests in flight continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.transport.CloseIdleConnections()
	for _, t := range c.replaced {
		t.CloseIdleConnections()
	}
}

// setHeader copies Options.Header into a request's header, replacing equal names.
func (c *Client) setHeader(h http.Header) {
	for name, values := range c.opts.Header {
		h[name] = append([]string(nil), values...)
	}
}
