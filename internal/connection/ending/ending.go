// Package ending tells how a peer ended a connection while bytes were being written to it.
package ending

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Conn is a connection whose reads return io.EOF only after an orderly end by the peer. It has one reader
// and one writer at a time.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held while writing; guards writeErr
	writeErr error
}

// New returns a connection that reads from and writes to c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn. After an error, further writes return the same one.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		n, c.writeErr = c.Conn.Write(p)
	}
	return n, c.writeErr
}

// Read implements net.Conn. At the end by the peer it closes the connection, which ends a write that is
// in progress.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		_ = c.Conn.Close() // the peer sends nothing more
		err = c.endedBy()
	}
	return n, err
}

// endedBy returns the error that ended the closed connection after a read that returned io.EOF. The kernel
// returns an error of a connection to one call only: if that was a write, a read returns io.EOF as after an
// orderly end. A write fails with EPIPE if the peer had ended the connection before.
func (c *Conn) endedBy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, net.ErrClosed) || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}
