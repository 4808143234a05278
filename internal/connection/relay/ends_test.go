package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// lostWithin is the time in which a lost helper must be found.
const lostWithin = 1500 * time.Millisecond

// TestEndOfTheTargetIsReadAsFromADirectConnection guards against ends that are mistaken for
// each other: a response without a length is complete only after a clean end.
func TestEndOfTheTargetIsReadAsFromADirectConnection(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	for name, test := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"closed": {func(*net.TCPConn) {}, nil},
		"reset":  {reset, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			relayed := make(chan struct{})
			target := newTarget(t, func(conn *net.TCPConn) {
				_, _ = conn.Write([]byte("response"))
				<-relayed // a reset discards what the helper has not read
				test.end(conn)
			})
			conn := dial(t, c, h.address, target)
			b := make([]byte, 8)
			_, err := io.ReadFull(conn, b)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "response")
			close(relayed)
			_, err = io.ReadAll(conn)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Assert(t, !conn.IsOpen())
			_, err = conn.Write([]byte("late"))
			assert.Assert(t, err != nil)
		})
	}
}

// TestEndWhileTheClientWrites guards against a reset that is read as a clean end because
// the kernel returned its error to a write, and against a response that is lost because its
// target stops reading the request.
func TestEndWhileTheClientWrites(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	write := func(conn net.Conn) {
		b := make([]byte, 4<<10)
		for {
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}
	t.Run("reset", func(t *testing.T) {
		target := newTarget(t, func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, 64<<10)
			reset(conn)
		})
		for range 200 {
			conn := dial(t, c, h.address, target)
			go write(conn)
			_, err := io.ReadAll(conn)
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		}
	})
	t.Run("closed", func(t *testing.T) {
		target := newTarget(t, func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, 64<<10)
			_, _ = conn.Write([]byte("response"))
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		for range 50 {
			conn := dial(t, c, h.address, target)
			go write(conn)
			b, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "response")
		}
	})
}

// TestLostHelperIsNotAnEndOfTheTarget guards against a truncated response that is taken for
// a complete one, or for one that its target broke off, when its helper is lost.
func TestLostHelperIsNotAnEndOfTheTarget(t *testing.T) {
	target := newTarget(t, func(conn *net.TCPConn) {
		_, _ = conn.Write([]byte("part"))
		_, _ = io.Copy(io.Discard, conn)
	})
	inProcess := func(lose func(*helper)) func(*testing.T) (string, func()) {
		return func(t *testing.T) (string, func()) {
			h := newHelper(t, ServerOptions{})
			return h.address, func() { lose(h) }
		}
	}
	signal := func(s syscall.Signal) func(*testing.T) (string, func()) {
		return func(t *testing.T) (string, func()) {
			address, process := newHelperProcess(t)
			return address, func() { assert.NilError(t, process.Signal(s)) }
		}
	}
	for name, start := range map[string]func(*testing.T) (string, func()){
		"killed":             signal(syscall.SIGKILL),
		"terminated":         signal(syscall.SIGTERM),
		"silent":             signal(syscall.SIGSTOP),
		"connections closed": inProcess(func(h *helper) { h.http.CloseClientConnections() }),
		"server closed":      inProcess(func(h *helper) { _ = h.http.Config.Close() }),
		"server shut down": inProcess(func(h *helper) {
			h.server.Drain()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_ = h.http.Config.Shutdown(ctx)
			_ = h.http.Config.Close()
		}),
	} {
		t.Run(name, func(t *testing.T) {
			address, lose := start(t)
			c := newClient(t)
			conn := dial(t, c, address, target)
			eventually(t, "bytes arrive", conn.HasUnread)
			lose()
			began := time.Now()
			b, err := io.ReadAll(conn)
			assert.Assert(t, time.Since(began) < lostWithin, "%v", time.Since(began))
			assert.Equal(t, string(b), "part")
			assertLost(t, err)
			_, err = conn.Write([]byte("more"))
			assertLost(t, err)
			assert.Assert(t, !conn.IsOpen())
		})
	}
}

func assertLost(t *testing.T, err error) {
	t.Helper()
	var lost *HelperError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Assert(t, !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Assert(t, !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE), "%v", err)
}

// endsEarly is a helper that ends its streams without a RelayEnd.
type endsEarly struct {
	chicoryv1connect.UnimplementedRelayServiceHandler
}

func (endsEarly) Connect(_ context.Context, stream *serverStream) error {
	if _, err := stream.Receive(); err != nil {
		return err
	}
	if err := stream.Send(&chicoryv1.RelayServiceConnectResponse{}); err != nil {
		return err
	}
	return stream.Send(&chicoryv1.RelayServiceConnectResponse{Data: []byte("part")})
}

// TestStreamThatEndsWithoutAReasonIsALostHelper guards against the same mistake when the
// HTTP/2 stream itself ends cleanly.
func TestStreamThatEndsWithoutAReasonIsALostHelper(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewRelayServiceHandler(endsEarly{}))
	server.Config.Handler = mux
	ConfigureServer(server.Config)
	server.Start()
	defer server.Close()
	c := newClient(t)
	conn := dial(t, c, server.Listener.Addr().String(), "127.0.0.1:9")
	b, err := io.ReadAll(conn)
	assert.Equal(t, string(b), "part")
	assertLost(t, err)
}

// TestPauseOfTheHelperEndsNoConnection guards against connections that are given up when a
// VM pauses for a second.
func TestPauseOfTheHelperEndsNoConnection(t *testing.T) {
	address, process := newHelperProcess(t)
	c := newClient(t)
	conn := dial(t, c, address, newTarget(t, echo))
	for _, message := range []string{"one", "two"} {
		assert.NilError(t, process.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second)
		assert.NilError(t, process.Signal(syscall.SIGCONT))
		_, err := conn.Write([]byte(message))
		assert.NilError(t, err)
		b := make([]byte, len(message))
		_, err = io.ReadFull(conn, b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), message)
	}
}

// TestLeavingClientIsFeltAtTheTarget guards against targets that go on with work whose
// caller has left.
func TestLeavingClientIsFeltAtTheTarget(t *testing.T) {
	for name, serve := range map[string]func(conn *net.TCPConn) error{
		"idle": func(conn *net.TCPConn) error {
			_, err := conn.Read(make([]byte, 1))
			return err
		},
		"bytes to the client in flight": func(conn *net.TCPConn) error {
			for {
				if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
					return err
				}
			}
		},
		"bytes to the target in flight": func(conn *net.TCPConn) error {
			time.Sleep(300 * time.Millisecond) // the buffers fill up
			_, err := io.Copy(io.Discard, conn)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHelper(t, ServerOptions{})
			left := make(chan error, 1)
			target := newTarget(t, func(conn *net.TCPConn) { left <- serve(conn) })
			conn := dial(t, newClient(t), h.address, target)
			if name == "bytes to the target in flight" {
				go func() { _, _ = conn.Write(make([]byte, 64<<20)) }()
			}
			time.Sleep(200 * time.Millisecond)
			assert.NilError(t, conn.Close())
			select {
			case err := <-left:
				reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
				assert.Assert(t, reset, "%v", err)
			case <-time.After(time.Second):
				t.Fatal("the target noticed nothing")
			}
			eventually(t, "the helper is free", func() bool { return h.server.Connections() == 0 })
		})
	}
}

// TestLostClientIsFeltAtTheTarget guards against connections that a helper keeps for an
// entry VM that no longer exists.
func TestLostClientIsFeltAtTheTarget(t *testing.T) {
	for _, silent := range []bool{false, true} {
		h := newHelper(t, ServerOptions{})
		entrance, silence := newNetwork(t, h.address)
		left := make(chan struct{})
		target := newTarget(t, func(conn *net.TCPConn) {
			_, _ = io.Copy(io.Discard, conn)
			close(left)
		})
		dial(t, newClient(t), entrance, target)
		if silent {
			silence()
		} else {
			h.http.CloseClientConnections()
		}
		within(t, lostWithin, "the end at the target", func() { <-left })
	}
}

// TestCutNetworkEndsReadsAndWrites guards against calls that wait for a helper whose
// connection takes no more bytes.
func TestCutNetworkEndsReadsAndWrites(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	entrance, silence := newNetwork(t, h.address)
	c := newClient(t)
	stop := make(chan struct{})
	defer close(stop)
	target := newTarget(t, func(conn *net.TCPConn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		<-stop
	})
	writing, reading, closed := dial(t, c, entrance, target), dial(t, c, entrance, target), dial(t, c, entrance, target)
	silence()
	wrote, read := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := writing.Write(make([]byte, 64<<20))
		wrote <- err
	}()
	go func() {
		_, err := reading.Read(make([]byte, 1))
		read <- err
	}()
	go func() { _, _ = closed.Write(make([]byte, 64<<20)) }()
	began := time.Now()
	time.Sleep(200 * time.Millisecond)
	within(t, 100*time.Millisecond, "Close", func() { _ = closed.Close() })
	assertLost(t, <-wrote)
	assertLost(t, <-read)
	assert.Assert(t, time.Since(began) < lostWithin, "%v", time.Since(began))
}
