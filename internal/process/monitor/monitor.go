// Package monitor serves the health, readiness and metrics of a process over plain
// HTTP, to the platform's load balancer and to operators.
package monitor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
)

// Paths of the endpoints.
const (
	// HealthPath returns status 200 while the process runs and is not draining.
	HealthPath = "/health"
	// ReadyPath returns status 200 while the process can serve requests.
	ReadyPath = "/ready"
	// MetricsPath returns all metrics as JSON.
	MetricsPath = "/metrics"
	// MetricsTextPath returns all metrics in the Prometheus text format.
	MetricsTextPath = "/metrics/text"
)

const (
	readHeaderTimeout = 5 * time.Second
	closeTimeout      = time.Second
	// readTimeout and writeTimeout bound a request: scrapers take some milliseconds.
	readTimeout, writeTimeout = 10 * time.Second, 20 * time.Second
	// maxConnections is the number of connections: a load balancer, scrapers and operators have less
	// than ten.
	maxConnections = 32
)

// Server is the HTTP server of the monitoring endpoints.
type Server struct {
	http     *http.Server
	ready    func() (bool, string)
	draining atomic.Bool
}

// Listen starts a server on address (IP:port). ready reports whether the process can
// serve requests and, if not, the reason.
//
// The server's connections take memory from clients.
func Listen(address string, registry metrics.Registry, clients *intake.Budget, ready func() (bool, string)) (*Server, error) {
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
	mux.HandleFunc(MetricsTextPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = writeText(w, registry) // fails only if the client disconnected; it will scrape again
	})
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout}
	go func() {
		_ = intake.Serve(s.http, ln, intake.Limits{Name: "monitor", Connections: maxConnections}, clients)
	}()
	return s, nil
}

// Drain makes the health and readiness checks fail, so that the load balancer sends
// no new requests.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Close stops the server. Requests still open after closeTimeout are aborted.
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
