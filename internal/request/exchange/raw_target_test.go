package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

// settleTime lets bytes arrive before the connection is reset, which discards unread ones.
const settleTime = 50 * time.Millisecond

// rawTarget answers each request with the same bytes, over real connections.
type rawTarget struct {
	address string
	// onRequest is called before the first byte is sent, unless it is nil.
	onRequest   func()
	connections atomic.Int32
	requests    atomic.Int32
}

// startRawTarget starts a target that sends answer and then ends the connection, or keeps it
// if end is nil.
func startRawTarget(t *testing.T, answer string, end func(c *net.TCPConn)) *rawTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	x := &rawTarget{address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			x.connections.Add(1)
			go x.serve(c.(*net.TCPConn), answer, end)
		}
	}()
	return x
}

func (x *rawTarget) serve(c *net.TCPConn, answer string, end func(c *net.TCPConn)) {
	defer func() { _ = c.Close() }()
	requests := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		x.requests.Add(1)
		if x.onRequest != nil {
			x.onRequest()
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if end != nil {
			end(c)
			return
		}
	}
}

func endNormally(c *net.TCPConn) { _ = c.CloseWrite() }

func resetConnection(c *net.TCPConn) {
	time.Sleep(settleTime)
	_ = c.SetLinger(0)
}

// listEngines makes the engines at the addresses available, and no others.
func listEngines(engines *placement.EngineTable, addresses ...string) {
	var listed []*chicoryv1.ListedTarget
	for _, a := range addresses {
		listed = append(listed, &chicoryv1.ListedTarget{Address: a, Instance: "i-" + a, Service: "s", AvailabilityZone: "a"})
	}
	engines.Update(listed, func(string) int { return 50_000 })
}

// startCaller serves requests like a as the frontend does. The result sends one and returns
// what its caller has received, and whether the response was complete.
func startCaller(t *testing.T, s *Service, a *AdmittedRequest) (send func() (status int, body string, err error)) {
	t.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := s.Serve(r.Context(), w, a)
		var broken *TruncatedError
		if errors.As(err, &broken) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}))
	t.Cleanup(front.Close)
	return func() (int, string, error) {
		req, err := http.NewRequest(a.Method, front.URL, nil)
		assert.NilError(t, err)
		resp, err := front.Client().Do(req)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), err
	}
}
