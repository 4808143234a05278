// Package relay connects an entry VM that can't reach a target to it through another entry
// VM, the helper, which forwards bytes in both directions. A connection has one helper: it
// only opens direct connections.
//
// The end of a connection tells the target's from the helper's: an end or a reset by the
// target is a message of the helper, and a stream that ends without one has lost the
// helper.
package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Limits of an HTTP/2 connection between two entry VMs.
const (
	// A VM that is silent for good is found after sendPingTimeout and pingTimeout; a pause
	// that is shorter than pingTimeout ends no connection.
	sendPingTimeout = 200 * time.Millisecond
	pingTimeout     = 1100 * time.Millisecond
	dialTimeout     = 300 * time.Millisecond
	idleTimeout     = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	// clientWindowBytes and serverWindowBytes limit the bytes of one stream that were received
	// and not yet read.
	clientWindowBytes = 64 << 10
	serverWindowBytes = 32 << 10
	// connectionBytes limits those of all streams that a server receives on a connection. 4 MiB
	// is invalid.
	connectionBytes = 4<<20 - 1
	// maxStreams makes the windows of all streams fit into that of the connection, so that a
	// target that reads nothing doesn't delay other streams. A client that doesn't know the
	// limit yet begins 100 streams.
	maxStreams = connectionBytes / serverWindowBytes
)

const (
	// chunkBytes is the maximum size of the data of one message. HTTP/2 frames have 16 KiB.
	chunkBytes = 16 << 10
	// maxMessageBytes limits one message.
	maxMessageBytes = 64 << 10
)

// readLimit is an option of clients and handlers: they don't read longer messages.
var readLimit = connect.WithReadMaxBytes(maxMessageBytes)

// ConfigureServer makes s accept plaintext HTTP/2 beside HTTP/1.1 and detect clients that
// are silent. The read and write timeouts of s must be zero, since they would end relayed
// connections.
func ConfigureServer(s *http.Server) {
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerConnection: connectionBytes,
		MaxReceiveBufferPerStream:     serverWindowBytes,
		SendPingTimeout:               sendPingTimeout,
		PingTimeout:                   pingTimeout,
	}
}

// newTransport returns a transport whose connections come from localIP, unless that is nil, and are
// closed when ctx ends.
func newTransport(ctx context.Context, localIP net.IP) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if localIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: func(dialCtx context.Context, network, address string) (net.Conn, error) {
			return dialHelper(dialCtx, ctx, dialer, network, address)
		},
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: clientWindowBytes,
			SendPingTimeout:           sendPingTimeout,
			PingTimeout:               pingTimeout,
		},
	}
}

// helperConn is a connection to a helper.
type helperConn struct {
	net.Conn
	stop func() bool
}

// dialHelper opens a connection that is closed when lifetime ends.
func dialHelper(ctx, lifetime context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &helperConn{conn, context.AfterFunc(lifetime, func() { _ = conn.Close() })}, nil
}

// Close implements net.Conn.
func (c *helperConn) Close() error {
	c.stop()
	return c.Conn.Close()
}
