// Package monitor serves a process's health, readiness and metrics to the
// platform's balancer and to operators, over plain HTTP.
package monitor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
)

// Paths of the endpoints.
const (
	// HealthPath answers 200 while the process runs and is not shutting down.
	HealthPath = "/health"
	// ReadyPath answers 200 while the process can serve.
	ReadyPath = "/ready"
	// MetricsPath answers with all metrics as JSON.
	MetricsPath = "/metrics"
	// TextPath answers with all metrics in the text format of monitoring systems.
	TextPath = "/metrics/text"
)

const (
	readHeaderTimeout = 5 * time.Second
	closeTimeout      = time.Second
)

// Server serves the endpoints.
type Server struct {
	http     *http.Server
	ready    func() (bool, string)
	draining atomic.Bool
}

// Listen serves on address (IP:port). ready tells whether the process can serve,
// and why not.
func Listen(address string, registry metrics.Registry, ready func() (bool, string)) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "monitor address")
	}
	s := &Server{ready: ready}
	mux := http.NewServeMux()
	mux.HandleFunc(HealthPath, s.serveHealth)
	mux.HandleFunc(ReadyPath, s.serveReady)
	mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	mux.HandleFunc(TextPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = writeText(w, registry) // a reader that left asks again
	})
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Drain makes health and readiness fail, so that the balancer sends nothing new.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Close stops the server. Requests that are open after closeTimeout are cut.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return nil
	}
	return errors.Trace(s.http.Close())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		s.serveHealth(w, r)
		return
	}
	if ok, reason := s.ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}
