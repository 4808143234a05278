package http1

import (
	"slices"
	"sync"
)

// Sends records the connections that carried one request. Targets may send a second copy of a response,
// late; one of a response to the request can't be told from the response to a later send of it on the
// same connection, so no connection carries a request twice. It is safe for concurrent use. The zero
// value is a request that was not sent yet.
type Sends struct {
	mu          sync.Mutex // guards connections
	connections []*conn
}

// includes reports whether the request was sent on the connection.
func (s *Sends) includes(c *conn) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.connections, c)
}

func (s *Sends) add(c *conn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections = append(s.connections, c)
}
