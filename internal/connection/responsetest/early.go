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
)

// EarlyTarget responds to long requests before it has read them. It sends the same bytes in response to each one
// and then ends the connection.
type EarlyTarget struct {
	// Address is the IP:port at which it listens.
	Address string

	listener net.Listener
	serving  sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	conns     []net.Conn
	onRequest func()
}

// StartEarlyTarget starts a target that serves until Close. end is called once the client had time to receive the
// response; the connection is closed afterwards.
func StartEarlyTarget(response string, end func(c *net.TCPConn, request io.Reader)) (*EarlyTarget, error) {
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
	t := &EarlyTarget{Address: ln.Addr().String(), listener: ln, onRequest: func() {}}
	t.serving.Go(func() { t.accept(response, end) })
	return t, nil
}

func (t *EarlyTarget) accept(response string, end func(c *net.TCPConn, request io.Reader)) {
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
			end(c.(*net.TCPConn), r.Body)
		})
	}
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
	t.mu.Lock()
	for _, c := range t.conns {
		_ = c.Close()
	}
	t.mu.Unlock()
	t.serving.Wait()
}

// Reset leaves a part of the request unread, so that the kernel resets the connection when it is closed.
func Reset(*net.TCPConn, io.Reader) {}

// ReadOn reads the rest of the request.
func ReadOn(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }

// HalfClose ends the response and reads nothing more until the client closes the connection.
func HalfClose(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(10 * settleTime)
}

// HalfCloseAndReset ends the response and resets the connection after that.
func HalfCloseAndReset(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(settleTime)
}
