package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Bounds of plain connections between own processes.
const (
	// plainDialTimeout is below the time of one message of the replicated log, so
	// that a VM that is off costs one message.
	plainDialTimeout = 300 * time.Millisecond
	// plainIdleTimeout keeps connections open over pauses between changes.
	plainIdleTimeout = 30 * time.Second
	// plainIdlePerPeer is the number of calls that usually run at once to one peer.
	plainIdlePerPeer = 4
)

// NewPlainClient returns a client for own processes where no certificates are
// handed out: HTTP/1.1, so that a call that is given up closes the connection that
// it was on. Callers bound each call by its context.
func NewPlainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: plainDialTimeout}).DialContext,
		MaxIdleConnsPerHost: plainIdlePerPeer,
		IdleConnTimeout:     plainIdleTimeout,
		DisableCompression:  true,
	}}
}

// Uncompressed asks for answers that are not compressed. Messages between own processes
// are short or packed already, and a feed's are sent to many: compressing each would
// take more of a small VM's processor than all else.
var Uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// PlainURL is BaseURL for a peer without certificates.
func PlainURL(address string) string {
	return "http://" + address
}
