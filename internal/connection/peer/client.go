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

// Client is an HTTP client for peers. One connection is kept for each address
// and replaced after it went silent for the idle timeout, or by ReplaceConnections.
type Client struct {
	*http.Client
	connections *connections // nil when the client is not over QUIC
}

// connections holds the connections of a client. It implements http.RoundTripper.
type connections struct {
	keys *Keys

	mu      sync.Mutex // guards the fields below
	current *http3.Transport
	since   time.Time // when current was made
	retired []*http3.Transport
}

// NewClient returns a client that shows keys to every peer.
func NewClient(keys *Keys) *Client {
	c := &connections{keys: keys, current: newTransport(keys), since: time.Now()}
	return &Client{Client: &http.Client{Transport: c}, connections: c}
}

// ReplaceConnections makes later requests use new connections, because a request
// that began at the given time was not answered. Requests in flight go on for the
// idle timeout. Connections that are newer than that request stay.
func (c *Client) ReplaceConnections(began time.Time) {
	if c.connections != nil {
		c.connections.replace(began)
	}
}

// Close cuts all connections.
func (c *Client) Close() error {
	return errors.Trace(c.connections.close())
}

func newTransport(keys *Keys) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig:    keys.ClientConfig(),
		QUICConfig:         quicConfig(),
		DisableCompression: true,
		Dial:               dialOwnSocket,
	}
}

// dialOwnSocket opens each connection from a UDP port of its own. With one port
// for all, something between the two ends that lost track of the port would
// swallow the packets of every later connection too.
func dialOwnSocket(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
	conn, err := quic.DialAddrEarly(ctx, address, tlsConfig, config)
	return conn, errors.Trace(err)
}

// RoundTrip implements http.RoundTripper.
func (c *connections) RoundTrip(req *http.Request) (*http.Response, error) {
	return c.transport().RoundTrip(req)
}

func (c *connections) transport() *http3.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// CloseIdleConnections closes the connections that carry no request now.
func (c *connections) CloseIdleConnections() {
	c.transport().CloseIdleConnections()
}

// replace implements ReplaceConnections.
func (c *connections) replace(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.Before(began) {
		return
	}
	old := c.current
	c.retired = append(c.retired, old)
	c.current, c.since = newTransport(c.keys), time.Now()
	time.AfterFunc(idleTimeout, func() { c.closeRetired(old) })
}

func (c *connections) closeRetired(old *http3.Transport) {
	c.mu.Lock()
	c.retired = slices.DeleteFunc(c.retired, func(t *http3.Transport) bool { return t == old })
	c.mu.Unlock()
	_ = old.Close()
}

// close cuts all connections.
func (c *connections) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.retired {
		_ = t.Close()
	}
	return errors.Trace(c.current.Close())
}
