package peer

import "connectrpc.com/connect"

const (
	// MaxMessageBytes limits one message between processes of the system. The largest ones
	// carry a declared configuration.
	MaxMessageBytes = 32 << 20
	// maxHeaderBytes limits the headers of a response from a peer.
	maxHeaderBytes = 64 << 10
)

// ReadLimit is an option of clients and handlers: they don't read messages that exceed
// MaxMessageBytes, and return the code resource_exhausted.
var ReadLimit = connect.WithReadMaxBytes(MaxMessageBytes)
