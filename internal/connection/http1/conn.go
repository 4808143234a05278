package http1

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	// readBuffer holds the head of an answer and several events of a stream.
	readBuffer = 8 << 10
	// silenceProbe and probes find a connection whose other end is gone.
	silenceProbe = time.Second
	probes       = 3
)

// conn is one connection to a target.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// idleUntil is when the target may close the idle connection.
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without probes the connection would work as well, only a silence is found later.
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable: true, Idle: silenceProbe, Interval: silenceProbe, Count: probes,
		})
	}
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// close frees the connection. Nothing is waited for, so the error tells nothing.
func (c *conn) close() { _ = c.raw.Close() }

// isQuiet reports whether the idle connection is open and nothing arrived on it. A
// late second answer to an earlier request must not be taken for the next one's.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && quiet
}
