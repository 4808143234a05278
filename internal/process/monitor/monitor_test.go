package monitor

import (
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// listen returns a monitor and the URL of an endpoint.
func listen(t *testing.T, ready func() (bool, string)) (s *Server, url func(path string) string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	s, err = Listen(address, metrics.NewRegistry(), ready)
	assert.NilError(t, err)
	return s, func(path string) string { return "http://" + address + path }
}

func statusOf(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// A draining process is neither healthy nor ready, but still shows its metrics.
func TestDrainFailsHealthAndReadiness(t *testing.T) {
	ready := false
	s, url := listen(t, func() (bool, string) { return ready, "not yet" })
	assert.Equal(t, statusOf(t, url(HealthPath)), http.StatusOK)
	assert.Equal(t, statusOf(t, url(ReadyPath)), http.StatusServiceUnavailable)
	ready = true
	assert.Equal(t, statusOf(t, url(ReadyPath)), http.StatusOK)
	s.Drain()
	assert.Equal(t, statusOf(t, url(HealthPath)), http.StatusServiceUnavailable)
	assert.Equal(t, statusOf(t, url(ReadyPath)), http.StatusServiceUnavailable)
	assert.Equal(t, statusOf(t, url(MetricsPath)), http.StatusOK)
	assert.NilError(t, s.Close())
}

// A request that never ends doesn't keep the process from stopping.
func TestCloseEndsWithRequestOpen(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	s, url := listen(t, func() (bool, string) {
		close(begun)
		<-end
		return true, ""
	})
	go func() {
		resp, err := http.Get(url(ReadyPath))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-begun
	assert.NilError(t, s.Close())
	close(end)
}
