package frontend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// testCodec takes the request's id, API key and timeout from headers.
type testCodec struct{}

func (testCodec) Request(r *http.Request) (*exchange.Request, error) {
	timeout, _ := time.ParseDuration(r.Header.Get("Timeout")) // 0 if there is none
	return &exchange.Request{ID: r.Header.Get("Id"), URI: r.RequestURI, APIKey: r.Header.Get("Key"), Timeout: timeout}, nil
}

func (testCodec) Refuse(w http.ResponseWriter, e *fault.Error) {
	http.Error(w, string(e.Kind), http.StatusServiceUnavailable)
}

// handlerFunc implements Handler.
type handlerFunc func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error

func (h handlerFunc) Serve(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
	return h(ctx, w, a)
}

// lines holds the log lines of a frontend.
type lines struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testFrontend serves on a loopback address.
type testFrontend struct {
	*Frontend
	address string
	holder  *declared.Holder
	log     *lines
}

// testBudget is the memory of callers in tests that don't exhaust it.
const testBudget = 36 << 20

// testTimeouts apply where a test configures no limit.
var testTimeouts = timeouts{header: 100 * time.Millisecond, idle: 100 * time.Millisecond}

func listen(t *testing.T, h handlerFunc) *testFrontend {
	t.Helper()
	return listenOn(t, func(ln net.Listener) net.Listener { return ln }, h)
}

// listenOn is like listen, with a listener that wrap returns.
func listenOn(t *testing.T, wrap func(net.Listener) net.Listener, h handlerFunc) *testFrontend {
	t.Helper()
	return listenWithBudget(t, wrap, h, intake.NewBudget(testBudget, metrics.NewRegistry()))
}

// listenWithBudget is like listenOn, with the memory of callers.
func listenWithBudget(t *testing.T, wrap func(net.Listener) net.Listener, h handlerFunc, b *intake.Budget) *testFrontend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := make(chan struct{})
	close(started)
	x := &testFrontend{address: ln.Addr().String(), holder: &declared.Holder{}, log: &lines{}}
	x.Frontend = serve(wrap(ln), Options{
		Codec: testCodec{}, Handler: h, Holder: x.holder, Started: started, Logger: logging.New(x.log, "entry", "e1"),
		Registry: metrics.NewRegistry(), Random: func() uint64 { return 0 },
		Budget: b, MaxConnections: 100,
	}, testTimeouts)
	t.Cleanup(func() { _ = x.http.Close() })
	x.apply(1, declared.Limits{})
	return x
}

// apply puts a configuration with the limits in force.
func (x *testFrontend) apply(version uint64, l declared.Limits) {
	x.holder.Update(&declared.Configuration{
		Version:  version,
		Routes:   []declared.Route{{Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Minute, Services: []declared.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []declared.Service{{Name: "s"}},
		Limits:   l,
	})
}

// dial opens a caller's connection.
func (x *testFrontend) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", x.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c, bufio.NewReader(c)
}

// exchangeOn sends one request on the connection and returns the body of the response.
func exchangeOn(c net.Conn, r *bufio.Reader, body string) (string, error) {
	if _, err := fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nTimeout: 1s\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestPanicIsLogged guards against a request that ends with neither a response nor a log
// line: net/http closes the connection of a handler that panics.
func TestPanicIsLogged(t *testing.T) {
	x := listen(t, func(context.Context, http.ResponseWriter, *exchange.AdmittedRequest) error { panic("no such engine") })
	c, r := x.dial(t)
	_, err := exchangeOn(c, r, "body")
	assert.Assert(t, err != nil)
	for _, want := range []string{"event=request_panicked", `reason="no such engine"`, "version=1"} {
		assert.Assert(t, strings.Contains(x.log.String(), want), "%s", x.log)
	}
}

// TestTruncatedResponseIsLoggedWithBothVersions guards against a truncated response whose log
// line doesn't show whether the configuration changed while the request ran.
func TestTruncatedResponseIsLoggedWithBothVersions(t *testing.T) {
	var x *testFrontend
	x = listen(t, func(context.Context, http.ResponseWriter, *exchange.AdmittedRequest) error {
		x.apply(2, declared.Limits{})
		return &exchange.TruncatedError{Reason: "no engine"}
	})
	c, r := x.dial(t)
	_, err := exchangeOn(c, r, "body")
	assert.Assert(t, err != nil)
	for _, want := range []string{"event=request_broken", "version=2", "admitted_version=1", "draining=false"} {
		assert.Assert(t, strings.Contains(x.log.String(), want), "%s", x.log)
	}
}
