package router

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// A router that started without its certificate would be ready, but could serve no
// caller.
func TestMissingCallerCertificateFailsStart(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.pem")
	_, err := newCallerServer(http.NotFoundHandler(), &CallerTLS{Certificate: missing, Key: missing})
	assert.ErrorContains(t, err, "caller_tls")
}

// While the router drains, responses ask clients to close their connections. A stream that
// is open when the server shuts down is finished, over HTTP/1.1 and HTTP/2.
func TestShutdownCutsNoStream(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		var draining atomic.Bool
		started, finish := make(chan struct{}), make(chan struct{})
		mux := http.NewServeMux()
		mux.HandleFunc("/short", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("/long", func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			close(started)
			<-finish
			_, _ = w.Write([]byte("end"))
		})
		s, err := newCallerServer(closeConnectionsWhen(&draining, mux), nil)
		assert.NilError(t, err)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(ln) }()
		url := "http://" + ln.Addr().String()
		client := newCallerClient(http2)
		stream, err := client.Get(url + "/long")
		assert.NilError(t, err)
		<-started
		draining.Store(true)
		short, err := newCallerClient(http2).Get(url + "/short")
		assert.NilError(t, err)
		assert.NilError(t, short.Body.Close())
		if !http2 { // HTTP/2 sends a GOAWAY frame instead
			assert.Assert(t, short.Close)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
		close(finish)
		b := make([]byte, 3)
		n, _ := stream.Body.Read(b)
		assert.Equal(t, string(b[:n]), "end")
		assert.NilError(t, stream.Body.Close())
		assert.NilError(t, <-stopped)
	}
}

func newCallerClient(http2 bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}
