package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestLongBodiesInBothDirections guards against bytes that are lost, repeated or reordered.
func TestLongBodiesInBothDirections(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	conn := dial(t, newClient(t), h.address, newTarget(t, echo))
	sent := make([]byte, 8<<20)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(sent)
	go func() { _, _ = conn.Write(sent) }()
	received := make([]byte, len(sent))
	_, err := io.ReadFull(conn, received)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(sent, received))
	bytesRelayed := metrics.GetOrRegisterCounter("relay.bytes", h.registry)
	eventually(t, "all bytes are counted", func() bool { return bytesRelayed.Count() == int64(2*len(sent)) })
}

// TestClientThatDoesNotReadStopsTheTarget guards against helpers and clients that buffer
// without bound.
func TestClientThatDoesNotReadStopsTheTarget(t *testing.T) {
	const bound = 256 << 10
	const length = 16 << 20
	var read atomic.Int64
	h := newHelper(t, ServerOptions{Dial: countedDial(&read)})
	target := newTarget(t, func(conn *net.TCPConn) { _, _ = conn.Write(make([]byte, length)) })
	conn := dial(t, newClient(t), h.address, target)
	eventually(t, "bytes arrive", conn.HasUnread)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, read.Load() <= bound, "%d bytes were read from the target", read.Load())
	assert.Assert(t, conn.IsOpen())
	n, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(length))
}

// TestTargetThatDoesNotReadStopsItsClientOnly guards against buffers without bound, and
// against streams that wait for a target that is not theirs.
func TestTargetThatDoesNotReadStopsItsClientOnly(t *testing.T) {
	stalled := newTarget(t, echo)
	h := newHelper(t, ServerOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || address != stalled {
			return conn, err
		}
		return &stalledConn{Conn: conn, closed: make(chan struct{})}, nil
	}})
	c := newClient(t)
	for range 3 * maxStreams / 2 { // more than the window of one connection holds
		conn := dial(t, c, h.address, stalled)
		go func() { _, _ = conn.Write(make([]byte, 1<<20)) }()
	}
	time.Sleep(500 * time.Millisecond) // the windows fill up
	conn := dial(t, c, h.address, newTarget(t, echo))
	within(t, time.Second, "an exchange beside stalled connections", func() {
		_, err := conn.Write([]byte("ping"))
		assert.Check(t, err)
		_, err = io.ReadFull(conn, make([]byte, 4))
		assert.Check(t, err)
	})
}

// stalledConn is a connection whose writes block until it is closed.
type stalledConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *stalledConn) Write([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *stalledConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestTargetThatDoesNotReadBlocksWrites guards against writes that a client buffers.
func TestTargetThatDoesNotReadBlocksWrites(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	stop := make(chan struct{})
	target := newTarget(t, func(*net.TCPConn) { <-stop })
	defer close(stop)
	conn := dial(t, newClient(t), h.address, target)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		done <- err
	}()
	select {
	case err := <-done:
		t.Fatalf("the write ended: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	assert.NilError(t, conn.Close())
	within(t, time.Second, "the end of the write", func() {
		assert.Check(t, errors.Is(<-done, net.ErrClosed))
	})
}

// TestRefusedConnections guards against relays to addresses that are no targets, for callers
// that are no entry VMs, and over more than one hop.
func TestRefusedConnections(t *testing.T) {
	target := newTarget(t, echo)
	for name, test := range map[string]struct {
		options ServerOptions
		target  string
		want    fault.Kind
	}{
		"not a target":      {ServerOptions{IsTarget: func(a string) bool { return a != target }}, target, fault.PermissionDenied},
		"not an entry VM":   {ServerOptions{IsEntryVM: func(ip string) bool { return ip != "127.0.0.1" }}, target, fault.PermissionDenied},
		"address of port 0": {ServerOptions{}, "127.0.0.1:0", fault.InvalidArgument},
		"no room":           {ServerOptions{MaxConnections: -1}, target, fault.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			test.options.Dial = func(context.Context, string, string) (net.Conn, error) {
				t.Error("the helper opened a connection")
				return nil, syscall.ECONNREFUSED
			}
			h := newHelper(t, test.options)
			_, err := newClient(t).Dial(t.Context(), h.address, test.target)
			var refusal *HelperError
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Assert(t, fault.Is(err, test.want), "%v", err)
			assert.Equal(t, metrics.GetOrRegisterCounter("relay.refused", h.registry).Count(), int64(1))
			assert.Equal(t, h.server.Connections(), 0)
		})
	}
}

// TestInvalidAddressIsRefused guards against a helper that trusts its callers' addresses.
func TestInvalidAddressIsRefused(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	service := chicoryv1connect.NewRelayServiceClient(&http.Client{Transport: c.transport}, "http://"+h.address)
	for _, address := range []string{"", "localhost:80", "127.0.0.1", "127.0.0.1:99999", "/tmp/socket"} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		stream := service.Connect(ctx)
		// A message is sent in two parts: the helper may have responded before the second one.
		err := stream.Send(&chicoryv1.RelayServiceConnectRequest{Target: address})
		assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%q: %v", address, err)
		_, err = stream.Receive()
		assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument, "%q: %v", address, err)
		cancel()
	}
	_, err := c.Dial(t.Context(), h.address, "localhost:80")
	var failed *TargetError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
}

// TestHelperDialsDirectly guards against relays over several hops.
func TestHelperDialsDirectly(t *testing.T) {
	target := newTarget(t, echo)
	dialed := make(chan string, 1)
	h := newHelper(t, ServerOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed <- network + " " + address
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	dial(t, newClient(t), h.address, target)
	assert.Equal(t, <-dialed, "tcp "+target)
}

// TestFailedDialOfTheHelper guards against targets and helpers that are blamed for each
// other's failures.
func TestFailedDialOfTheHelper(t *testing.T) {
	hangs := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	fails := func(err error) func(context.Context, string, string) (net.Conn, error) {
		return func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		}
	}
	for name, test := range map[string]struct {
		dial func(context.Context, string, string) (net.Conn, error)
		want error
	}{
		"refused":                      {fails(syscall.ECONNREFUSED), syscall.ECONNREFUSED},
		"reset":                        {fails(syscall.ECONNRESET), syscall.ECONNRESET},
		"timeout of the kernel":        {fails(syscall.ETIMEDOUT), os.ErrDeadlineExceeded},
		"no time left at the caller's": {hangs, os.ErrDeadlineExceeded},
		"unreachable":                  {fails(syscall.EHOSTUNREACH), nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHelper(t, ServerOptions{Dial: test.dial})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := newClient(t).Dial(ctx, h.address, "127.0.0.1:9")
			var failed *TargetError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.Helper, h.address)
			assert.Equal(t, failed.Target, "127.0.0.1:9")
			assert.Assert(t, test.want == nil || errors.Is(err, test.want), "%v", err)
			eventually(t, "the helper is free", func() bool { return h.server.Connections() == 0 })
		})
	}
}

// TestHelperThatCannotBeReached guards against waits for a helper that is down, and against
// targets that are blamed for it.
func TestHelperThatCannotBeReached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	c := newClient(t)
	var lost *HelperError

	// The kernel accepts the connection; nothing responds.
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = c.Dial(ctx, address, "127.0.0.1:9")
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)

	within(t, lostWithin+dialTimeout, "a helper that is silent", func() {
		_, err := c.Dial(t.Context(), address, "127.0.0.1:9")
		assert.Check(t, errors.As(err, &lost), "%v", err)
	})

	assert.NilError(t, listener.Close())
	_, err = c.Dial(t.Context(), address, "127.0.0.1:9")
	assert.Assert(t, errors.As(err, &lost), "%v", err)
}

// TestConnectionOutlivesTheContextOfItsDial guards against streams that end at the deadline
// of their opening.
func TestConnectionOutlivesTheContextOfItsDial(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	conn, err := newClient(t).Dial(ctx, h.address, newTarget(t, echo))
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	cancel()
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 4))
	assert.NilError(t, err)
}

// TestFullHelperRefusesAtOnce guards against helpers that take more connections than they
// can carry, and against a log line for each refusal.
func TestFullHelperRefusesAtOnce(t *testing.T) {
	var log bytes.Buffer
	h := newHelper(t, ServerOptions{MaxConnections: 2, Logger: logging.New(&log, "entry", "e1")})
	c := newClient(t)
	target := newTarget(t, echo)
	first, _ := dial(t, c, h.address, target), dial(t, c, h.address, target)
	assert.Equal(t, h.server.Connections(), 2)
	const refused = 20
	for range refused {
		within(t, time.Second, "a refusal", func() {
			_, err := c.Dial(t.Context(), h.address, target)
			assert.Check(t, fault.Is(err, fault.Overloaded), "%v", err)
		})
	}
	assert.Equal(t, metrics.GetOrRegisterCounter("relay.refused", h.registry).Count(), int64(refused))
	assert.Equal(t, metrics.GetOrRegisterCounter("relay.opened", h.registry).Count(), int64(2))
	assert.Equal(t, metrics.GetOrRegisterGauge("relay.connections", h.registry).Value(), int64(2))
	assert.NilError(t, first.Close())
	eventually(t, "there is room", func() bool { return h.server.Connections() == 1 })
	dial(t, c, h.address, target)
	assert.Assert(t, strings.Contains(log.String(), "event=relay_refused"), log.String())
	assert.Assert(t, strings.Count(log.String(), "\n") <= 3, log.String())
}

// TestDrainingHelperKeepsItsConnections guards against streams that end when their helper
// begins to stop.
func TestDrainingHelperKeepsItsConnections(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	target := newTarget(t, echo)
	conn := dial(t, c, h.address, target)
	h.server.Drain()
	_, err := c.Dial(t.Context(), h.address, target)
	var refusal *HelperError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Assert(t, fault.Is(err, fault.Draining), "%v", err)
	shutdown := make(chan error, 1)
	go func() { shutdown <- h.http.Config.Shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	_, err = conn.Write([]byte("ping"))
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 4))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	within(t, testTimeout, "the shutdown after the last connection", func() { assert.Check(t, <-shutdown) })
}

// TestManyConnectionsThroughOneHelper guards against a limit of the HTTP/2 connection that
// delays further ones.
func TestManyConnectionsThroughOneHelper(t *testing.T) {
	const count = 3*maxStreams + 1
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	target := newTarget(t, echo)
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			conn, err := c.Dial(t.Context(), h.address, target)
			if !assert.Check(t, err) {
				return
			}
			_, err = conn.Write([]byte("ping"))
			assert.Check(t, err)
			_, err = io.ReadFull(conn, make([]byte, 4))
			assert.Check(t, err)
		})
	}
	within(t, testTimeout, "the exchanges", all.Wait)
	assert.Equal(t, h.server.Connections(), count)
}

// TestConnIsANetConn guards against differences to connections of net.
func TestConnIsANetConn(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	target := newTarget(t, echo)
	conn := dial(t, c, h.address, target)
	assert.Equal(t, conn.RemoteAddr().String(), target)
	assert.Assert(t, conn.LocalAddr() != nil)
	assert.Assert(t, errors.Is(conn.SetDeadline(time.Now()), os.ErrNoDeadline))
	assert.Assert(t, errors.Is(conn.SetReadDeadline(time.Now()), os.ErrNoDeadline))
	assert.Assert(t, errors.Is(conn.SetWriteDeadline(time.Now()), os.ErrNoDeadline))

	assert.Assert(t, conn.IsOpen() && !conn.HasUnread())
	_, err := conn.Write([]byte("ping"))
	assert.NilError(t, err)
	eventually(t, "the echo arrives", conn.HasUnread)
	n, err := conn.Read(make([]byte, 3))
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	assert.Assert(t, conn.HasUnread(), "half of the data is unread")
	_, err = conn.Read(make([]byte, 3))
	assert.NilError(t, err)
	assert.Assert(t, conn.IsOpen() && !conn.HasUnread())

	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, conn.Close())
	assert.NilError(t, conn.Close())
	within(t, time.Second, "the end of the read", func() { assert.Check(t, errors.Is(<-read, net.ErrClosed)) })
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, net.ErrClosed))
	_, err = conn.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, net.ErrClosed))
	assert.Assert(t, !conn.IsOpen())
}

// TestEndOfAnIdleConnectionIsKnown guards against requests on a connection that its target
// has closed.
func TestEndOfAnIdleConnectionIsKnown(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	conn := dial(t, newClient(t), h.address, newTarget(t, func(*net.TCPConn) {}))
	eventually(t, "the end arrives", func() bool { return !conn.IsOpen() })
	assert.Assert(t, !conn.HasUnread())
	eventually(t, "the helper is free", func() bool { return h.server.Connections() == 0 })
}

// TestFirstConnectionThroughAHelperIsLogged guards against a line for each connection.
func TestFirstConnectionThroughAHelperIsLogged(t *testing.T) {
	var log bytes.Buffer
	registry := metrics.NewRegistry()
	c := NewClient(ClientOptions{Logger: logging.New(&log, "entry", "e1"), Registry: registry})
	defer c.Close()
	target := newTarget(t, echo)
	h, other := newHelper(t, ServerOptions{}), newHelper(t, ServerOptions{})
	for range 3 {
		dial(t, c, h.address, target)
		dial(t, c, other.address, target)
	}
	assert.Equal(t, strings.Count(log.String(), "event=relay_begun"), 2, log.String())
	assert.Equal(t, metrics.GetOrRegisterCounter("relay.used", registry).Count(), int64(6))
	c.mu.Lock()
	c.usedAt[h.address] = c.usedAt[h.address].Add(-helperPause)
	c.mu.Unlock()
	dial(t, c, h.address, target)
	assert.Equal(t, strings.Count(log.String(), "event=relay_begun"), 3, log.String())
}

// TestClosedClientLeavesNothing guards against goroutines and connections that stay.
func TestClosedClientLeavesNothing(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	target := newTarget(t, echo)
	floods := newTarget(t, func(conn *net.TCPConn) { _, _ = conn.Write(make([]byte, 1<<20)) })
	closes := newTarget(t, func(*net.TCPConn) {})
	before := runtime.NumGoroutine()
	c := NewClient(ClientOptions{Logger: logging.Discard(), Registry: metrics.NewRegistry()})
	for i := range 20 {
		conn := dial(t, c, h.address, target)
		full := dial(t, c, h.address, floods)
		if i%2 == 0 {
			assert.NilError(t, conn.Close())
			assert.NilError(t, full.Close())
		}
	}
	ended := dial(t, c, h.address, closes)
	_, err := io.ReadAll(ended)
	assert.NilError(t, err)
	c.Close()
	eventually(t, "the helper is free", func() bool { return h.server.Connections() == 0 })
	eventually(t, "all goroutines have ended", func() bool { return runtime.NumGoroutine() <= before })
	_, err = c.Dial(t.Context(), h.address, target)
	assert.Assert(t, err != nil, "the client is closed")
}

// TestHelperWithoutAPathSaysNothingAboutTheTarget guards against a target that is taken for down because
// the helper has lost its own path to it.
func TestHelperWithoutAPathSaysNothingAboutTheTarget(t *testing.T) {
	h := newHelper(t, ServerOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, fault.New(fault.NotReady, "no path")
	}})
	_, err := newClient(t).Dial(t.Context(), h.address, newTarget(t, echo))
	var helperErr *HelperError
	assert.Assert(t, errors.As(err, &helperErr), "%v", err)
	assert.Assert(t, fault.Is(helperErr.Err, fault.NotReady), "%v", err)
}

// TestTargetThatWantsNoFurtherRequests guards against requests that a helper relays to a target that wants
// none from it: over a new connection, and over one that was open before. What was begun goes on.
func TestTargetThatWantsNoFurtherRequests(t *testing.T) {
	var closed sync.Map
	h := newHelper(t, ServerOptions{TakesRequests: func(address string) bool {
		_, isClosed := closed.Load(address)
		return !isClosed
	}})
	c, leaving, other := newClient(t), newTarget(t, echo), newTarget(t, echo)
	open, beside := dial(t, c, h.address, leaving), dial(t, c, h.address, other)
	exchange := func(conn *conn) {
		_, err := conn.Write([]byte("ping"))
		assert.NilError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 4))
		assert.NilError(t, err)
	}
	exchange(open)
	assert.Assert(t, open.IsOpen())
	closed.Store(leaving, true)
	within(t, time.Second, "the notice", func() {
		eventually(t, "the connection carries no further request", func() bool { return !open.IsOpen() })
	})
	exchange(open)
	exchange(beside)
	assert.Assert(t, beside.IsOpen())
	_, err := c.Dial(t.Context(), h.address, leaving)
	var refusal *HelperError
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Assert(t, fault.Is(err, fault.NoTarget), "%v", err)
	closed.Delete(leaving)
	exchange(dial(t, c, h.address, leaving))
	c.Close()
	eventually(t, "the helper is free", func() bool { return h.server.Connections() == 0 })
}

// TestClientUsesItsOwnAddress guards against a VM with several addresses that its helpers don't know.
func TestClientUsesItsOwnAddress(t *testing.T) {
	from := make(chan string, 1)
	h := newHelper(t, ServerOptions{IsEntryVM: func(ip string) bool { from <- ip; return true }})
	c := NewClient(ClientOptions{Logger: logging.Discard(), Registry: metrics.NewRegistry(), LocalIP: net.IPv4(127, 0, 0, 9)})
	t.Cleanup(c.Close)
	dial(t, c, h.address, newTarget(t, echo))
	assert.Equal(t, <-from, "127.0.0.9")
}
