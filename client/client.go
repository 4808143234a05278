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

// Defaults of Options.
const (
	defaultSilence    = 1200 * time.Millisecond
	defaultFirstToken = 15 * time.Second
	defaultPatience   = 2 * time.Minute
)

// Options describe how a client reaches the system.
type Options struct {
	// Addresses are base URLs such as "http://10.0.0.1:8080", or IP:port for
	// HTTP/2 without TLS. One balancer address is enough; several are used in turn.
	Addresses []string
	// NewTransport returns a transport with connections of its own. The client
	// asks for a new one after a connection went silent. Nil means HTTP/2,
	// without TLS for http addresses.
	NewTransport func() *http.Transport
	// Header is added to every request, for the team's key.
	Header http.Header
	// Silence is how long a stream may be silent before the client reconnects;
	// 0 means 1.2 s. It doubles while reconnecting brings no token.
	Silence time.Duration
	// FirstToken is how long the first token may take; 0 means 15 s.
	FirstToken time.Duration
	// Patience is how long the client goes on without a new token; 0 means 2 min.
	Patience time.Duration
}

// Client makes requests. It is safe for concurrent use.
type Client struct {
	opts Options

	mu      sync.Mutex // guards the fields below
	current *endpoint
	turn    int
	retired []*http.Transport
}

// endpoint is one address with connections of its own.
type endpoint struct {
	url       string
	transport *http.Transport
	service   chicoryv1connect.CallerServiceClient
}

// New returns a client. It fails when no address is given.
func New(opts Options) (*Client, error) {
	if len(opts.Addresses) == 0 {
		return nil, errors.New("no address is given")
	}
	if opts.NewTransport == nil {
		opts.NewTransport = newTransport
	}
	if opts.Silence == 0 {
		opts.Silence = defaultSilence
	}
	if opts.FirstToken == 0 {
		opts.FirstToken = defaultFirstToken
	}
	if opts.Patience == 0 {
		opts.Patience = defaultPatience
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

// newEndpoint returns the next address. The caller holds mu or is the only user.
func (c *Client) newEndpoint() *endpoint {
	url := c.opts.Addresses[c.turn%len(c.opts.Addresses)]
	c.turn++
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	t := c.opts.NewTransport()
	return &endpoint{
		url:       url,
		transport: t,
		// Compressing single tokens costs more time and bytes than it saves.
		service: chicoryv1connect.NewCallerServiceClient(&http.Client{Transport: t}, url,
			connect.WithAcceptCompression("gzip", nil, nil)),
	}
}

// endpoint returns the endpoint in use.
func (c *Client) endpoint() *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// replace makes a new connection to the next address unless another request has
// replaced e before. Requests in flight on e go on.
func (c *Client) replace(e *endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != e {
		return
	}
	for _, t := range c.retired {
		t.CloseIdleConnections()
	}
	if len(c.retired) == maxRetired {
		c.retired = c.retired[1:]
	}
	c.retired = append(c.retired, e.transport)
	c.current = c.newEndpoint()
}

// maxRetired bounds the replaced transports that Close still closes.
const maxRetired = 16

// Close closes idle connections. Requests in flight go on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.transport.CloseIdleConnections()
	for _, t := range c.retired {
		t.CloseIdleConnections()
	}
}

// setHeader adds the client's headers to those of a request.
func (c *Client) setHeader(h http.Header) {
	for name, values := range c.opts.Header {
		h[name] = append([]string(nil), values...)
	}
}
