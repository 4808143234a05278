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
	return serveConnections(t, func(c net.Conn, requests *bufio.Reader) {
		for n := 0; ; n++ {
			if _, err := readRequest(requests); err != nil {
				return
			}
			if n > 0 {
				runs.Add(1)
			}
			_, _ = io.WriteString(c, refusal)
		}
	})
}

// serveConnections starts a target that serves each connection with serve, and returns its address.
func serveConnections(t *testing.T, serve func(c net.Conn, requests *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// readRequest reads a request with its body, and returns the ID that it names.
func readRequest(requests *bufio.Reader) (id string, err error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), nil
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

// startCopyingRefusals starts a target that refuses the first request of each connection and names it,
// and runs every later one. Before it runs one, it sends a second copy of the refusal.
func startCopyingRefusals(t *testing.T, runs *atomic.Int32) string {
	t.Helper()
	return serveConnections(t, func(c net.Conn, requests *bufio.Reader) {
		id, err := readRequest(requests)
		named := "HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n"
		for err == nil {
			_, _ = io.WriteString(c, named)
			if _, err = readRequest(requests); err == nil {
				runs.Add(1)
			}
		}
	})
}

// TestLateCopyOfARefusalIsNotTheAnswerToALaterSend guards against a request that runs twice, or runs
// and is answered as not run: it is sent to the same target again on the connection that carried its
// refusal, and a late copy of that refusal has its ID.
func TestLateCopyOfARefusalIsNotTheAnswerToALaterSend(t *testing.T) {
	for name, request := range map[string]*AdmittedRequest{
		"call that runs at most once":   admitted(declared.AtMostOnce, false),
		"call that may run repeatedly":  admitted(declared.Retryable, false),
		"stream that runs at most once": admitted(declared.AtMostOnce, true),
		"stream that may be resumed":    admitted(declared.Resumable, true),
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			w := newTestNetwork()
			s, _ := w.service(unlimitedBudget{}, startCopyingRefusals(t, &runs))
			s.opts.Pool = http1.NewPool(http1.Defaults(), metrics.NewRegistry())
			err := s.Serve(t.Context(), httptest.NewRecorder(), request)
			assert.Assert(t, fault.Is(err, fault.NoTarget), "%v", err)
			assert.Equal(t, runs.Load(), int32(0), "a request that was reported as not run has run")
		})
	}
}
