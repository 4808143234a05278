package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Limits of plaintext connections between processes of the system.
const (
	// plainDialTimeout is below the timeout of one message of the replicated log, so
	// that a VM that is down costs only one message.
	plainDialTimeout = 300 * time.Millisecond
	// plainIdleTimeout keeps connections open between changes.
	plainIdleTimeout = 30 * time.Second
	// plainIdlePerPeer is the number of calls that usually run concurrently to one peer.
	plainIdlePerPeer = 4
)

// NewPlainClient returns a plaintext client for processes of the system, for deployments
// without certificates. It uses HTTP/1.1, so that cancelling a call closes its
// connection. It has no timeout of its own: each call is limited by its context.
func NewPlainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: plainDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    plainIdlePerPeer,
		IdleConnTimeout:        plainIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Uncompressed is a client option that requests uncompressed responses. Messages between
// processes of the system are short or already compressed, and those of a feed go to many
// receivers: compressing each would take more CPU time of a small VM than everything else.
var Uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// PlainURL returns the base URL of a peer that uses plaintext HTTP.
func PlainURL(address string) string {
	return "http://" + address
}
