package paths

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// path is the path from this VM to one target.
type path struct {
	table   *Table
	address string
	// lastReceived is when a byte last came directly from the target.
	lastReceived atomicTime
	// suspectedAt is when the path was last checked because its target sent nothing.
	suspectedAt atomicTime
	// unreachableUntil is the time until which other entry VMs are not asked.
	unreachableUntil atomicTime

	// brokenAt is when the path was found broken; the zero time if it works. It works again when a
	// probe gets as far as needed. Both are guarded by Table.mu.
	brokenAt time.Time
	needed   progress

	mu    sync.Mutex // guards check
	check *check     // nil while the path is not being checked
}

// directConn is a direct connection to a target. It reports what it receives to the path.
type directConn struct {
	net.Conn
	path *path
}

func newDirectConn(c net.Conn, p *path) net.Conn {
	d := &directConn{Conn: c, path: p}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &tcpConn{directConn: d, tcp: tcp}
	}
	return d
}

// tcpConn adds to a directConn the methods of TCP connections that the target pool uses.
type tcpConn struct {
	*directConn
	tcp *net.TCPConn
}

// SyscallConn implements syscall.Conn.
func (c *tcpConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetKeepAliveConfig configures TCP keep-alive.
func (c *tcpConn) SetKeepAliveConfig(k net.KeepAliveConfig) error {
	return errors.Trace(c.tcp.SetKeepAliveConfig(k))
}

// SetLinger sets what Close does with bytes that have not been sent, as for a net.TCPConn.
func (c *tcpConn) SetLinger(sec int) error { return errors.Trace(c.tcp.SetLinger(sec)) }

// Read implements net.Conn.
func (c *directConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.path.table.received(c.path, time.Now())
	}
	return n, err
}

// IsOpen reports whether the connection may carry another request: its path is not known to be
// broken. Bytes that are written to a connection without a path may arrive later.
func (c *directConn) IsOpen() bool { return !c.path.table.isBroken(c.path) }

// relayedConn is a connection through another entry VM.
type relayedConn struct {
	net.Conn
	path   *path
	helper string
	// released makes only the first Close count.
	released sync.Once
}

// IsOpen reports whether the connection may carry another request: the path is still broken and
// the other VM still helps.
func (c *relayedConn) IsOpen() bool {
	t := c.path.table
	if open, ok := c.Conn.(interface{ IsOpen() bool }); ok && !open.IsOpen() {
		return false
	}
	return t.isBroken(c.path) && t.helpers.maintains(c.helper, time.Now())
}

// HasUnread reports whether bytes were received that Read has not returned yet.
func (c *relayedConn) HasUnread() bool {
	u, ok := c.Conn.(interface{ HasUnread() bool })
	return ok && u.HasUnread()
}

// Close implements net.Conn. It may be called several times.
func (c *relayedConn) Close() error {
	c.released.Do(func() { c.path.table.helpers.released(c.helper) })
	return c.Conn.Close()
}
