package ending

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// endedConn is a connection that has ended. Reads return io.EOF.
type endedConn struct {
	net.Conn
	writeErr error
	// blocked: writes return once the connection is closed.
	blocked bool
	writing chan struct{} // closed when a write begins
	closed  chan struct{} // closed by Close
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.blocked {
		<-c.closed
	}
	return 0, c.writeErr
}

func (c *endedConn) Close() error {
	close(c.closed)
	return nil
}

func opError(err error) error {
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)}
}

// TestEndIsThatOfTheWriteThatFailed guards against an error that is lost since the kernel returns it to one call.
func TestEndIsThatOfTheWriteThatFailed(t *testing.T) {
	for name, c := range map[string]struct {
		conn endedConn
		end  error
	}{
		"reset":                {endedConn{writeErr: opError(syscall.ECONNRESET)}, syscall.ECONNRESET},
		"timed out":            {endedConn{writeErr: opError(syscall.ETIMEDOUT)}, syscall.ETIMEDOUT},
		"written":              {endedConn{}, io.EOF},
		"ended before":         {endedConn{writeErr: opError(syscall.EPIPE)}, io.EOF},
		"write in progress":    {endedConn{blocked: true, writeErr: &net.OpError{Op: "write", Err: net.ErrClosed}}, io.EOF},
		"reset in that moment": {endedConn{blocked: true, writeErr: opError(syscall.ECONNRESET)}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			inner := c.conn
			inner.writing, inner.closed = make(chan struct{}), make(chan struct{})
			conn := New(&inner)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write(nil) // Read returns the error
			}()
			<-inner.writing
			if !inner.blocked {
				<-written
			}
			_, err := conn.Read(nil)
			assert.Assert(t, errors.Is(err, c.end), "%v", err)
			<-written
		})
	}
}

// TestErrorOfAWriteIsKept guards against the error of a later write, which is EPIPE whatever ended the connection.
func TestErrorOfAWriteIsKept(t *testing.T) {
	inner := &endedConn{writeErr: opError(syscall.ECONNRESET), writing: make(chan struct{}), closed: make(chan struct{})}
	conn := New(inner)
	for range 2 {
		_, err := conn.Write(nil)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
}
