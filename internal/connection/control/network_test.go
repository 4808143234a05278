package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// network is an in-memory http.RoundTripper that passes requests to handlers by address.
type network struct {
	mu       sync.Mutex // guards the fields below
	handlers map[string]http.Handler
	inFlight map[string][]context.CancelFunc // by address
}

func newNetwork() *network {
	return &network{handlers: map[string]http.Handler{}, inFlight: map[string][]context.CancelFunc{}}
}

func (n *network) client() *peer.Client {
	return &peer.Client{Client: &http.Client{Transport: n}}
}

// cancelRequests cancels the requests in flight at address.
func (n *network) cancelRequests(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cancel := range n.inFlight[address] {
		cancel()
	}
	n.inFlight[address] = nil
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.handlers[req.URL.Host]
	ctx, cancel := context.WithCancel(req.Context())
	n.inFlight[req.URL.Host] = append(n.inFlight[req.URL.Host], cancel)
	n.mu.Unlock()
	if h == nil {
		cancel()
		return nil, errors.New("connection refused")
	}
	r, w := io.Pipe()
	response := &pipeWriter{body: w, header: http.Header{}, started: make(chan struct{})}
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	go func() {
		defer cancel()
		h.ServeHTTP(response, req.Clone(ctx))
		response.WriteHeader(http.StatusOK)
		_ = w.Close()
	}()
	select {
	case <-response.started:
		return &http.Response{
			StatusCode: response.status, Header: response.header, Body: r, Request: req, ProtoMajor: 2,
		}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeWriter is an http.ResponseWriter that writes the body to a pipe.
type pipeWriter struct {
	body    *io.PipeWriter
	header  http.Header
	status  int
	once    sync.Once
	started chan struct{}
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (w *pipeWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.started)
	})
}

func (w *pipeWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(b)
}

func (w *pipeWriter) Flush() {}
