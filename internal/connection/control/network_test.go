package control

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// network carries requests to handlers by address, in memory.
type network struct {
	mu       sync.Mutex // guards the fields below
	handlers map[string]http.Handler
	open     map[string][]context.CancelFunc
}

func newNetwork() *network {
	return &network{handlers: map[string]http.Handler{}, open: map[string][]context.CancelFunc{}}
}

func (n *network) client() *peer.Client {
	return &peer.Client{Client: &http.Client{Transport: n}}
}

// cut ends the requests that are open at an address.
func (n *network) cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cancel := range n.open[address] {
		cancel()
	}
	n.open[address] = nil
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(req *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.handlers[req.URL.Host]
	ctx, cancel := context.WithCancel(req.Context())
	n.open[req.URL.Host] = append(n.open[req.URL.Host], cancel)
	n.mu.Unlock()
	if h == nil {
		cancel()
		return nil, errors.New("connection refused")
	}
	r, w := io.Pipe()
	answer := &pipeWriter{body: w, header: http.Header{}, started: make(chan struct{})}
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	go func() {
		defer cancel()
		h.ServeHTTP(answer, req.Clone(ctx))
		answer.WriteHeader(http.StatusOK)
		_ = w.Close()
	}()
	select {
	case <-answer.started:
		return &http.Response{
			StatusCode: answer.status, Header: answer.header, Body: r, Request: req, ProtoMajor: 2,
		}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeWriter writes an answer into a pipe.
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
