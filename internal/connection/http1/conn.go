package http1

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/abort"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/ending"
)

const (
	// readBufferBytes fits the headers of a response and several events of a stream.
	readBufferBytes = 8 << 10
	// TCP keep-alive detects a peer that no longer exists or can't be reached.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// conn is one connection to a target.
type conn struct {
	raw    net.Conn
	stream *ending.Conn // reads from raw and writes to it
	head   *headReader  // reads from stream
	reader *bufio.Reader
	// idleUntil is the time from which the idle connection is not used any more, because
	// the target may close it.
	idleUntil time.Time
	// reused: the connection has carried an earlier request.
	reused bool
}

// keepAliveSetter is implemented by TCP connections.
type keepAliveSetter interface {
	SetKeepAliveConfig(net.KeepAliveConfig) error
}

// opener is implemented by connections that know whether they may carry another request.
type opener interface{ IsOpen() bool }

// unreader is implemented by connections that know whether they have unread bytes.
type unreader interface{ HasUnread() bool }

func newConn(raw net.Conn) *conn {
	if tcp, ok := raw.(keepAliveSetter); ok {
		// An error is ignored: without keep-alive, only the detection of a dead peer
		// takes longer.
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		})
	}
	stream := ending.New(raw)
	head := &headReader{source: stream}
	return &conn{raw: raw, stream: stream, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// beginHead limits and checks the head of the next response, a part of which may be buffered.
func (c *conn) beginHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.beginHead(buffered)
}

// beginTrailers does the same for the trailers of a response whose last chunk was read.
func (c *conn) beginTrailers() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.beginTrailers(buffered)
}

// close closes a connection whose requests were answered. No written data depends on it, so errors
// are ignored.
func (c *conn) close() { _ = c.raw.Close() }

// reset closes the connection and discards what the target has not received: a request that was given
// up must not reach it later. An error is ignored: the connection has been closed already.
func (c *conn) reset() { _ = abort.Close(c.raw) }

// hasUnread reports whether the target has sent bytes that wait in the socket. Unlike isIdle, it
// may be called while another goroutine reads.
func (c *conn) hasUnread() bool {
	if u, ok := c.raw.(unreader); ok {
		return u.HasUnread()
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) {
		// Unlike a receive call, this leaves an error of the connection to the reader.
		unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return controlErr == nil && err == nil && unread > 0
}

// isIdle reports whether the idle connection is open and has no unread data. A late
// second response to an earlier request must not be read as the next request's.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if o, ok := c.raw.(opener); ok && !o.IsOpen() {
		return false
	}
	if u, ok := c.raw.(unreader); ok {
		return !u.HasUnread()
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && idle
}
