package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
)

const maxBodyBytes = 1 << 20

// target is a TCP server on loopback. It handles each connection with a given function.
type target struct {
	address  string
	accepted chan struct{} // one element per connection
}

func startTarget(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	x := &target{address: ln.Addr().String(), accepted: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.accepted <- struct{}{}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return x
}

// respondWith sends the same raw response to every request on a connection.
func respondWith(response string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if _, err := io.WriteString(c, response); err != nil {
				return
			}
		}
	}
}

func newPool() *http1.Pool { return http1.NewPool(http1.Defaults(), metrics.NewRegistry()) }

func get(ctx context.Context, p *http1.Pool, address string) (string, error) {
	x, err := p.Send(ctx, address, &http1.Request{Method: "GET", URI: "/x", Host: "h"})
	if err != nil {
		return "", err
	}
	a, err := x.ReadResponse()
	if err != nil {
		return "", err
	}
	body, err := a.ReadAll(maxBodyBytes)
	if err != nil {
		a.Abandon()
		return "", err
	}
	a.Finish()
	var b strings.Builder
	_, err = body.WriteTo(&b)
	return b.String(), err
}

func TestConnectionIsReusedOnlyAfterACompleteResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response    string
		connections int
	}{
		"whole":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"interim response":  {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		"trailing bytes":    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", 2},
		"Connection: close": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		"short keep-alive":  {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 2},
	} {
		t.Run(name, func(t *testing.T) {
			x := startTarget(t, respondWith(c.response))
			p := newPool()
			defer p.Close()
			for range 2 {
				body, err := get(t.Context(), p, x.address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			assert.Equal(t, len(x.accepted), c.connections)
		})
	}
}

func TestBodyWithoutLengthEndsWithTheConnection(t *testing.T) {
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
	})
	body, err := get(t.Context(), newPool(), x.address)
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"short body":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"short chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"short trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n",
		"no trailers":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
		"short head":     "HTTP/1.1 200 OK\r\nContent-",
		"no answer":      "",
		"not HTTP":       "\x00\x01\x02\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, text)
			})
			_, err := get(t.Context(), newPool(), x.address)
			assert.Assert(t, err != nil && !http1.IsNotSent(err), "must fail, and not as a request that was never sent: %v", err)
		})
	}
}

func TestResetDuringBodyWithoutLengthIsAnError(t *testing.T) {
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nsome")
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := get(t.Context(), newPool(), x.address)
	assert.Assert(t, err != nil)
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = get(t.Context(), newPool(), address)
	assert.Assert(t, http1.IsNotSent(err))
	assert.ErrorContains(t, err, address)
}

// TestClosedIdleConnectionIsNotReused guards against sending a request on a pooled
// connection that the target has closed. The target closes after each response without
// announcing it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := newPool()
	for range 5 {
		_, err := get(t.Context(), p, x.address)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLateSecondResponseIsNotUsedForTheNextRequest guards against mixing up responses:
// the target sends a second response while the connection is idle.
func TestLateSecondResponseIsNotUsedForTheNextRequest(t *testing.T) {
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		_, _ = http.ReadRequest(r)
	})
	p := newPool()
	for range 3 {
		body, err := get(t.Context(), p, x.address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		time.Sleep(40 * time.Millisecond)
	}
}

// TestNoRequestFollowsAnIncompleteBody guards against writing a request where the target
// expects the rest of a body. The target responds before it has read a long body; then
// either the rest arrives or the connection ends.
func TestNoRequestFollowsAnIncompleteBody(t *testing.T) {
	rest := make(chan int, 10)
	finished := make(chan struct{}) // closed when the client has finished the first exchange
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		<-finished
		b, _ := io.ReadAll(req.Body)
		rest <- strings.Count(string(b), "x")
		assert.Check(t, !strings.Contains(string(b), "GET /"))
	})
	p := newPool()
	body := []byte(strings.Repeat("x", 4<<20))
	ex, err := p.Send(t.Context(), x.address, &http1.Request{Method: "POST", URI: "/x", Host: "h", Body: body, HasBody: true})
	assert.NilError(t, err)
	a, err := ex.ReadResponse()
	assert.NilError(t, err)
	_, err = a.ReadAll(maxBodyBytes)
	assert.NilError(t, err)
	a.Finish()
	close(finished)
	_, err = get(t.Context(), p, x.address)
	assert.NilError(t, err)
	assert.Equal(t, len(x.accepted), 2, "the second request must use a new connection")
	<-rest
}

func TestContextEndClosesTheConnection(t *testing.T) {
	closed := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	x := startTarget(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		cancel()
		_, err := r.ReadByte()
		closed <- err
	})
	_, err := get(ctx, newPool(), x.address)
	assert.Assert(t, err != nil && !http1.IsNotSent(err))
	assert.Assert(t, <-closed != nil, "the target must see the connection close")
}

// TestGivenUpRequestDoesNotArriveLater guards against a request that a target receives seconds after its
// caller was answered, when the target may be leaving: the kernel goes on sending what was written
// before an ordinary close.
func TestGivenUpRequestDoesNotArriveLater(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		giveUp   func(t *testing.T, x *http1.Exchange, cancel context.CancelFunc)
	}{
		"deadline": {"", func(_ *testing.T, _ *http1.Exchange, cancel context.CancelFunc) { cancel() }},
		"response dropped": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", func(t *testing.T, x *http1.Exchange, _ context.CancelFunc) {
			r, err := x.ReadResponse()
			assert.NilError(t, err)
			r.Abandon()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}) // closed when the client has given up
			received := make(chan int64, 1)
			address := listenWithSmallBuffer(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.response)
				<-ended
				n, _ := io.Copy(io.Discard, conn)
				received <- n
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			body := []byte(strings.Repeat("x", unreadBodyBytes))
			x, err := newPool().Send(ctx, address, &http1.Request{Method: "POST", URI: "/x", Host: "h", Body: body, HasBody: true})
			assert.NilError(t, err)
			c.giveUp(t, x, cancel)
			time.Sleep(resetTime)
			close(ended)
			assert.Assert(t, <-received < unreadBodyBytes, "the whole request arrived")
		})
	}
}

const (
	// unreadBodyBytes is the size of a body that is written at once and does not fit a small receive buffer.
	unreadBodyBytes = 7 << 10
	// resetTime is the time within which a reset on loopback has arrived.
	resetTime = 50 * time.Millisecond
)

// listenWithSmallBuffer accepts one connection whose receive buffer has the smallest size.
func listenWithSmallBuffer(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	small := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		}); err != nil {
			return err
		}
		return optionErr
	}
	ln, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		serve(c)
	}()
	return ln.Addr().String()
}

func TestCloseIdleClosesIdleConnections(t *testing.T) {
	x := startTarget(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	p := newPool()
	for range 2 {
		_, err := get(t.Context(), p, x.address)
		assert.NilError(t, err)
		p.CloseIdle(x.address)
	}
	assert.Equal(t, len(x.accepted), 2)
}

// FuzzResponse reads arbitrary bytes as a response: reading must end, and a body that is
// returned must not be longer than the input.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = server.Write(response)
				_ = server.Close()
			}()
			return client, nil
		}
		p := http1.NewPoolWithDial(dial, http1.Defaults(), metrics.NewRegistry())
		body, err := get(t.Context(), p, "target")
		assert.Assert(t, err != nil || len(body) <= len(response))
	})
}
