package router

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/caller"
)

const (
	readHeaderTimeout = 5 * time.Second
	// compressFrom is the size in bytes from which answers to callers are compressed.
	compressFrom = 1024
)

// listenCallers binds the callers' address and serves it.
func (p *Process) listenCallers() error {
	ready := func() bool { ok, _ := p.reports.ready(); return ok }
	service := caller.NewService(p.holder, p.generations, p.calls, ready, p.log)
	// Messages of a few hundred bytes cost more to compress than to send.
	path, h := chicoryv1connect.NewCallerServiceHandler(service, connect.WithCompressMinBytes(compressFrom))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server, err := newCallerServer(closeWhen(&p.draining, mux), p.settings.CallerTLS)
	if err != nil {
		return errors.Trace(err)
	}
	ln, err := net.Listen("tcp", string(p.settings.CallerAddress))
	if err != nil {
		return errors.Annotate(err, "caller address")
	}
	p.callers = server
	go p.serveCallers(ln)
	return nil
}

// newCallerServer returns a server for HTTP/1.1 and HTTP/2, with TLS if files are
// given. It fails when they can't be read.
func newCallerServer(h http.Handler, files *CallerTLS) (*http.Server, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
	if files == nil {
		return s, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errors.Annotate(err, "caller_tls")
	}
	s.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	return s, nil
}

// serveCallers serves until the process stops; another end is a failure.
func (p *Process) serveCallers(ln net.Listener) {
	var err error
	if p.callers.TLSConfig != nil {
		err = p.callers.ServeTLS(ln, "", "")
	} else {
		err = p.callers.Serve(ln)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		p.failed <- errors.Annotate(err, "callers' listener")
	}
}

// closeWhen asks clients to close their connections after the answer once draining
// is set, so that none sends its next request into a connection that closes.
func closeWhen(draining *atomic.Bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
