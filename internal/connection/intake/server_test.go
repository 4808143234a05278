package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveMessages serves a handler that reads bodies on pipes, over HTTP/1.1 and HTTP/2.
func serveMessages(t *testing.T, total int64, h http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{listener: &fakeListener{conns: make(chan net.Conn), ended: make(chan struct{})}, budget: newBudget(total)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{Handler: LimitMessages(h, s.budget), Protocols: protocols, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = Serve(s.http, s.listener, Limits{Name: "test", Connections: 10}, s.budget) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// client returns a client of HTTP/2 or HTTP/1.1 that dials the server.
func (s *testServer) client(t *testing.T, http2 bool) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(http2)
	protocols.SetHTTP1(!http2)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		s.listener.conns <- theirs
		return ours, nil
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 20 * time.Second}
}

func readAll(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(body)
}

// TestMessagesOfBothProtocolsAreServed guards against frames of HTTP/2 that are counted as the head of a
// request, and against memory that isn't returned.
func TestMessagesOfBothProtocolsAreServed(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			s := serveMessages(t, 4<<20, readAll)
			c := s.client(t, http2)
			body := bytes.Repeat([]byte("\n"), 200<<10)
			for range 5 {
				resp, err := c.Post("http://h/", "text/plain", bytes.NewReader(body))
				assert.NilError(t, err)
				got, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				_ = resp.Body.Close()
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, resp.ProtoMajor == 2, http2)
				assert.Assert(t, bytes.Equal(got, body))
			}
			_ = s.http.Close()
			awaitZero(t, s.budget)
		})
	}
}

// TestStalledMessagesMakeRoom guards against messages that never end, hold all of the memory, and leave none
// for an ordinary one.
func TestStalledMessagesMakeRoom(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			s := serveMessages(t, 1<<20, readAll)
			c := s.client(t, http2)
			statuses := make(chan int, 5)
			for range 5 {
				r, w := io.Pipe()
				t.Cleanup(func() { _ = w.Close() })
				go func() { _, _ = io.WriteString(w, strings.Repeat("x", 30<<10)) }()
				go func() {
					resp, err := c.Post("http://h/", "text/plain", r)
					if err != nil {
						statuses <- 0
						return
					}
					_ = resp.Body.Close()
					statuses <- resp.StatusCode
				}()
			}
			time.Sleep(stallTime + 200*time.Millisecond)
			resp, err := c.Post("http://h/", "text/plain", strings.NewReader(strings.Repeat("y", 100<<10)))
			assert.NilError(t, err)
			got, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, len(got), 100<<10, "%.100s", got)
			assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
		})
	}
}

// TestPrefaceOfHTTP2AtAServerOfHTTP1 guards against a head that isn't counted because it begins like HTTP/2.
func TestPrefaceOfHTTP2AtAServerOfHTTP1(t *testing.T) {
	s := serve(t, Limits{Connections: 10, HeadLines: 20}, 1<<20, answer)
	conn, r := s.dial(t)
	send(conn, "PRI * HTTP/2.0\r\n"+strings.Repeat("a:\r\n", 30))
	assert.Equal(t, readStatus(t, r).StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}
