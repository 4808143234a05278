// Package abort ends connections whose written bytes must not arrive any more.
package abort

import "net"

// Close resets the connection c. Bytes that were written and that the peer has not acknowledged are
// discarded: after an ordinary close, the kernel goes on sending them for minutes. A connection without
// the method SetLinger of net.TCPConn is closed.
func Close(c net.Conn) error {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// An error is ignored: the connection has been closed already.
		_ = tcp.SetLinger(0)
	}
	return c.Close()
}
