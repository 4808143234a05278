package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// helperVariable makes the test binary run as a helper until its standard input ends.
const helperVariable = "CHICORY_TEST_RELAY_HELPER"

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) != "" {
		runHelper()
		return
	}
	os.Exit(m.Run())
}

func runHelper() {
	h := startHelper(ServerOptions{})
	fmt.Println(h.address)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// helper is a helper in this process.
type helper struct {
	server   *Server
	http     *httptest.Server
	address  string
	registry metrics.Registry
}

// startHelper starts a helper. Options that are not set allow everything.
func startHelper(o ServerOptions) *helper {
	h := &helper{registry: metrics.NewRegistry()}
	if o.IsTarget == nil {
		o.IsTarget = func(string) bool { return true }
	}
	if o.TakesRequests == nil {
		o.TakesRequests = func(string) bool { return true }
	}
	if o.IsEntryVM == nil {
		o.IsEntryVM = func(ip string) bool { return ip == "127.0.0.1" }
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = 1000
	}
	if o.Logger == nil {
		o.Logger = logging.Discard()
	}
	o.Registry = h.registry
	h.server = NewServer(o)
	mux := http.NewServeMux()
	mux.Handle(h.server.Handler())
	h.http = httptest.NewUnstartedServer(mux)
	ConfigureServer(h.http.Config)
	h.http.Start()
	h.address = h.http.Listener.Addr().String()
	return h
}

func newHelper(t testing.TB, o ServerOptions) *helper {
	t.Helper()
	h := startHelper(o)
	t.Cleanup(func() {
		h.http.CloseClientConnections()
		_ = h.http.Config.Close()
		h.http.Close()
	})
	return h
}

// newHelperProcess starts a helper in a process of its own.
func newHelperProcess(t *testing.T) (address string, process *os.Process) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), helperVariable+"=1")
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(line), cmd.Process
}

func newClient(t testing.TB) *Client {
	c := NewClient(ClientOptions{Logger: logging.Discard(), Registry: metrics.NewRegistry()})
	t.Cleanup(c.Close)
	return c
}

// newTarget starts a target that calls serve for each connection and then closes it.
func newTarget(t testing.TB, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var conns sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			conns.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			})
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-accepted
		for _, conn := range open {
			_ = conn.Close()
		}
		conns.Wait()
	})
	return listener.Addr().String()
}

func echo(conn *net.TCPConn) { _, _ = io.Copy(conn, conn) }

// reset makes the close of conn reset it.
func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// dial opens a connection through helper and closes it after the test.
func dial(t testing.TB, c *Client, helper, target string) *conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	opened, err := c.Dial(ctx, helper, target)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	return opened.(*conn)
}

// within fails the test if f takes longer than limit.
func within(t testing.TB, limit time.Duration, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatalf("%s took longer than %v", what, limit)
	}
}

// eventually fails the test if condition doesn't become true.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// countedDial counts the bytes that are read from the connections that it opens.
func countedDial(read *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{conn.(*net.TCPConn), read}, nil
	}
}

type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newNetwork starts a forwarder to address. From the call of silence, it forwards nothing
// and closes nothing, as a network that is cut does.
func newNetwork(t testing.TB, address string) (entrance string, silence func()) {
	t.Helper()
	cut, ended := make(chan struct{}), make(chan struct{})
	forward := func(to, from net.Conn) {
		b := make([]byte, 4<<10)
		for {
			n, err := from.Read(b)
			select {
			case <-cut:
				<-ended
				return
			default:
			}
			if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
				_ = to.Close()
				return
			}
		}
	}
	entrance = newTarget(t, func(conn *net.TCPConn) {
		onward, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer func() { _ = onward.Close() }()
		var back sync.WaitGroup
		back.Go(func() { forward(conn, onward) })
		forward(onward, conn)
		back.Wait()
	})
	t.Cleanup(func() { close(ended) })
	return entrance, func() { close(cut) }
}
