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

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

const refusal = "HTTP/1.1 503 X\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n"

// startRefusingTwice starts a target that refuses the first request of a connection, and that
// sends a second copy of the refusal once the connection is in use again. It runs every later
// request of the connection.
func startRefusingTwice(t *testing.T, runs *atomic.Int32) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		requests := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if n > 0 {
				runs.Add(1)
			}
			_, _ = io.WriteString(c, refusal)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// TestLateCopyOfARefusalIsNotAnotherRequests guards against a call that runs twice. A refusal
// names no request, so a second copy of it that arrives while the connection carries the next
// call reads as "that call has not run".
func TestLateCopyOfARefusalIsNotAnotherRequests(t *testing.T) {
	var runs atomic.Int32
	w := newTestNetwork()
	s, _ := w.service(unlimitedBudget{}, startRefusingTwice(t, &runs))
	s.opts.Pool = http1.NewPool(http1.Defaults(), metrics.NewRegistry())
	s.opts.Settings.MaxRefusals = 1
	for range 3 {
		err := s.Serve(t.Context(), httptest.NewRecorder(), admitted(declared.AtMostOnce, false))
		assert.Assert(t, fault.Is(err, fault.NoTarget), "%v", err)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, runs.Load(), int32(0), "a call that was reported as not run has run")
}
