package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Client is an HTTP/3 client for peers. It keeps one connection per address and replaces
// it after nothing was received for the idle timeout, or on ReplaceConnections.
type Client struct {
	*http.Client
	connections *connections // nil when the client does not use QUIC
}

// connections holds the connections of a client. It implements http.RoundTripper with
// the current transport.
type connections struct {
	credentials *Credentials

	mu        sync.Mutex // guards the fields below
	current   *http3.Transport
	createdAt time.Time          // of current
	retired   []*http3.Transport // replaced, with requests that may still be in flight
}

// NewClient returns a client that authenticates to every peer with credentials.
func NewClient(credentials *Credentials) *Client {
	c := &connections{credentials: credentials, current: newTransport(credentials), createdAt: time.Now()}
	return &Client{Client: &http.Client{Transport: c}, connections: c}
}

// ReplaceConnections makes later requests use new connections. It is called when a
// request that began at the given time got no response. Connections that are newer than
// that request are kept. Requests in flight may continue for the idle timeout.
func (c *Client) ReplaceConnections(began time.Time) {
	if c.connections != nil {
		c.connections.replace(began)
	}
}

// Close closes all connections and aborts requests in flight.
func (c *Client) Close() error {
	return errors.Trace(c.connections.close())
}

func newTransport(credentials *Credentials) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig:        credentials.ClientConfig(),
		QUICConfig:             quicConfig(),
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Dial:                   dialOwnSocket,
	}
}

// dialOwnSocket opens each connection from its own UDP port. With a shared port, a
// middlebox that lost its state for that port would also drop the packets of every
// later connection.
func dialOwnSocket(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	conn, err := quic.DialAddrEarly(ctx, address, tlsConfig, config)
	return conn, errors.Trace(err)
}

// RoundTrip implements http.RoundTripper.
func (c *connections) RoundTrip(req *http.Request) (*http.Response, error) {
	return c.transport().RoundTrip(req)
}

// transport returns the current transport.
func (c *connections) transport() *http3.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// CloseIdleConnections closes the current transport's connections without requests.
func (c *connections) CloseIdleConnections() {
	c.transport().CloseIdleConnections()
}

// replace implements Client.ReplaceConnections.
func (c *connections) replace(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.createdAt.Before(began) {
		return
	}
	old := c.current
	c.retired = append(c.retired, old)
	c.current, c.createdAt = newTransport(c.credentials), time.Now()
	time.AfterFunc(idleTimeout, func() { c.closeRetired(old) })
}

// closeRetired closes a transport that replace has retired.
func (c *connections) closeRetired(old *http3.Transport) {
	c.mu.Lock()
	c.retired = slices.DeleteFunc(c.retired, func(t *http3.Transport) bool { return t == old })
	c.mu.Unlock()
	_ = old.Close()
}

// close closes the current transport and all retired ones.
func (c *connections) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.retired {
		_ = t.Close()
	}
	return errors.Trace(c.current.Close())
}
