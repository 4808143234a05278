package monitor

import (
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
)

// startServer returns a server on a free port and a function that returns the URL of a
// path.
func startServer(t *testing.T, ready func() (bool, string)) (s *Server, url func(path string) string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s, err = Listen(address, metrics.NewRegistry(), intake.NewBudget(1<<20, metrics.NewRegistry()), ready)
	assert.NilError(t, err)
	return s, func(path string) string { return "http://" + address + path }
}

func getStatus(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// A draining process is neither healthy nor ready, but still serves its metrics.
func TestDrainFailsHealthAndReadiness(t *testing.T) {
	ready := false
	s, url := startServer(t, func() (bool, string) { return ready, "not yet" })
	assert.Equal(t, getStatus(t, url(HealthPath)), http.StatusOK)
	assert.Equal(t, getStatus(t, url(ReadyPath)), http.StatusServiceUnavailable)
	ready = true
	assert.Equal(t, getStatus(t, url(ReadyPath)), http.StatusOK)
	s.Drain()
	assert.Equal(t, getStatus(t, url(HealthPath)), http.StatusServiceUnavailable)
	assert.Equal(t, getStatus(t, url(ReadyPath)), http.StatusServiceUnavailable)
	assert.Equal(t, getStatus(t, url(MetricsPath)), http.StatusOK)
	assert.NilError(t, s.Close())
}

// Close must not wait forever for a request that never finishes.
func TestCloseWithOpenRequest(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s, url := startServer(t, func() (bool, string) {
		close(started)
		<-finish
		return true, ""
	})
	go func() {
		resp, err := http.Get(url(ReadyPath))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-started
	assert.NilError(t, s.Close())
	close(finish)
}
