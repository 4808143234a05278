package responsetest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// LongRequest is a size in bytes of request bodies of which most is not written yet when an EarlyTarget
	// responds.
	LongRequest = 4 << 20
	// readBefore is the part of a request in bytes that an EarlyTarget reads before it responds.
	readBefore = 64 << 10
	// receiveBuffer is the size in bytes of its receive buffers.
	receiveBuffer = 16 << 10
	// settleTime lets bytes arrive on loopback before the connection ends.
	settleTime = 50 * time.Millisecond
	// EndTime is the time within which an EarlyTarget that doesn't read on has ended the connection.
	EndTime = 4 * settleTime
)

// EarlyConn is a connection of an EarlyTarget that has sent its response.
type EarlyConn struct {
	*net.TCPConn
	// Request is the part of the request's body that was not read yet.
	Request io.Reader
	// Closing is closed when the target is closed.
	Closing <-chan struct{}
}

// EarlyTarget responds to long requests before it has read them. It sends the same bytes in response to each one
// and then ends the connection.
type EarlyTarget struct {
	// Address is the IP:port at which it listens.
	Address string

	listener net.Listener
	closing  chan struct{}
	serving  sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	conns     []net.Conn
	onRequest func()
}

// StartEarlyTarget starts a target that serves until Close. end is called once the client had time to receive the
// response; the connection is closed afterwards.
func StartEarlyTarget(response string, end func(c *EarlyConn)) (*EarlyTarget, error) {
	smallBuffer := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, optionErr)
	}
	ln, err := (&net.ListenConfig{Control: smallBuffer}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &EarlyTarget{Address: ln.Addr().String(), listener: ln, closing: make(chan struct{}), onRequest: func() {}}
	t.serving.Go(func() { t.accept(response, end) })
	return t, nil
}

func (t *EarlyTarget) accept(response string, end func(c *EarlyConn)) {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return // closed
		}
		t.mu.Lock()
		t.conns = append(t.conns, c)
		t.mu.Unlock()
		t.serving.Go(func() {
			defer func() { _ = c.Close() }()
			t.serve(c.(*net.TCPConn), response, end)
		})
	}
}

func (t *EarlyTarget) serve(c *net.TCPConn, response string, end func(c *EarlyConn)) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	t.mu.Lock()
	onRequest := t.onRequest
	t.mu.Unlock()
	onRequest()
	_, _ = io.CopyN(io.Discard, r.Body, readBefore)
	_, _ = io.WriteString(c, response)
	time.Sleep(settleTime)
	end(&EarlyConn{c, r.Body, t.closing})
}

// OnRequest makes the target call f when it begins to read a request.
func (t *EarlyTarget) OnRequest(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRequest = f
}

// Close stops the target and waits for its connections to end.
func (t *EarlyTarget) Close() {
	_ = t.listener.Close()
	close(t.closing)
	t.mu.Lock()
	for _, c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.serving.Wait()
}

// EarlyEnd is a way in which an EarlyTarget ends a connection after a response without a length.
type EarlyEnd struct {
	End func(c *EarlyConn)
	// IsComplete: the end is that of the response.
	IsComplete bool
}

// EarlyEnds returns ways in which an EarlyTarget may end a connection, by name.
func EarlyEnds() map[string]EarlyEnd {
	return map[string]EarlyEnd{
		"reset":                     {Reset, false},
		"closed after the request":  {readOn, true},
		"closed in one direction":   {HalfClose, true},
		"reset after the end of it": {halfCloseAndReset, true},
	}
}

// Reset leaves a part of the request unread, so that the kernel resets the connection when it is closed.
func Reset(*EarlyConn) {}

// readOn reads the rest of the request.
func readOn(c *EarlyConn) { _, _ = io.Copy(io.Discard, c.Request) }

// HalfClose ends the response, and reads nothing more until the target is closed.
func HalfClose(c *EarlyConn) {
	_ = c.CloseWrite()
	<-c.Closing
}

// halfCloseAndReset ends the response and resets the connection after that.
func halfCloseAndReset(c *EarlyConn) {
	_ = c.CloseWrite()
	time.Sleep(settleTime)
}
