package relay

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxUnreadBytes is the number of unread bytes from which no further message is received.
const maxUnreadBytes = 32 << 10

// conn is a connection to a target through a helper. Its deadlines are not supported.
type conn struct {
	stream    *clientStream
	endStream func() // does not block
	helper    string
	remote    *net.TCPAddr

	writeMu sync.Mutex // held while sending

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	unread  []byte
	end     error // set after the last byte was added to unread
	closed  bool
	closing bool // the target wants no further requests
}

var _ net.Conn = (*conn)(nil)

func newConn(stream *clientStream, endStream func(), helper string, remote *net.TCPAddr) *conn {
	c := &conn{stream: stream, endStream: endStream, helper: helper, remote: remote}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// receive adds what the helper sends to unread until the stream ends or c is closed.
func (c *conn) receive() {
	defer func() {
		c.endStream()
		_ = c.stream.CloseResponse() // the stream has ended
	}()
	for {
		m, err := c.stream.Receive()
		switch {
		case err != nil:
			c.finish(newHelperError(c.helper, err))
			return
		case m.GetEnd() != chicoryv1.RelayEnd_RELAY_END_UNSPECIFIED:
			c.finish(endError(m.GetEnd(), m.GetReason()))
			return
		case m.GetClosing():
			c.setClosing()
		case !c.store(m.GetData()):
			return
		}
	}
}

// store adds data to unread once there is room. It reports false if c was closed.
func (c *conn) store(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) >= maxUnreadBytes && !c.closed {
		c.changed.Wait()
	}
	if len(c.unread) == 0 {
		c.unread = data
	} else {
		c.unread = append(c.unread, data...)
	}
	c.changed.Broadcast()
	return !c.closed
}

func (c *conn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

func (c *conn) finish(end error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end = end
	c.changed.Broadcast()
}

// Read implements net.Conn. It returns io.EOF after a clean end by the target, an error
// that wraps syscall.ECONNRESET after a reset by it, and a *HelperError if the helper was
// lost.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.end == nil && !c.closed && len(p) > 0 {
		c.changed.Wait()
	}
	switch {
	case c.closed:
		return 0, c.opError("read", net.ErrClosed)
	case len(c.unread) > 0 || len(p) == 0:
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		c.changed.Broadcast()
		return n, nil
	case errors.Is(c.end, io.EOF):
		return 0, io.EOF
	default:
		return 0, c.opError("read", c.end)
	}
}

// Write implements net.Conn. After a clean end by the target it fails with syscall.EPIPE.
// Bytes that were written need not have reached the target.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	for n := 0; ; {
		if err := c.writeErr(); err != nil {
			return n, err
		}
		if n == len(p) {
			return n, nil
		}
		chunk := p[n:min(n+chunkBytes, len(p))]
		if err := c.stream.Send(&chicoryv1.RelayServiceConnectRequest{Data: chunk}); err != nil {
			return n, c.sendErr(err)
		}
		n += len(chunk)
	}
}

// writeErr returns the error of a write to a connection that has ended, or nil.
func (c *conn) writeErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return c.opError("write", net.ErrClosed)
	case errors.Is(c.end, io.EOF):
		return c.opError("write", syscall.EPIPE)
	case c.end != nil:
		return c.opError("write", c.end)
	default:
		return nil
	}
}

// sendErr returns the error of a write whose Send failed. The stream ends before its end
// is known only if the helper is lost.
func (c *conn) sendErr(err error) error {
	if known := c.writeErr(); known != nil {
		return known
	}
	return newHelperError(c.helper, err)
}

// opError returns err in the form of the errors of net. A *HelperError is not changed.
func (c *conn) opError(op string, err error) error {
	if lost, ok := err.(*HelperError); ok {
		return lost
	}
	return &net.OpError{Op: op, Net: "tcp", Addr: c.remote, Err: err}
}

// HasUnread reports whether bytes were received that Read has not returned yet. It may be
// called beside Read.
func (c *conn) HasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) > 0
}

// IsOpen reports whether c may carry another request: no end and no error was received, c was not closed,
// and the target wants further requests from the helper.
func (c *conn) IsOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end == nil && !c.closed && !c.closing
}

// Close implements net.Conn. The helper resets the connection to the target at once. It
// may be called several times and never fails.
func (c *conn) Close() error {
	c.close()
	return nil
}

func (c *conn) close() {
	c.mu.Lock()
	c.closed = true
	c.unread = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	c.endStream()
}

// LocalAddr implements net.Conn. The address is not known: it is that of the helper's
// connection.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn. It is the target's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn. It is not supported.
func (c *conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn. It is not supported.
func (c *conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn. It is not supported.
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
