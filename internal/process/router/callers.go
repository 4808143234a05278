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
	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
)

const (
	readHeaderTimeout = 5 * time.Second
	// minCompressBytes is the size from which responses to callers are compressed.
	minCompressBytes = 1024
	// maxRequestBytes limits a caller's message, before it is decoded.
	maxRequestBytes = 8 << 20
)

// listenCallers starts to serve callers on their address.
func (p *Process) listenCallers() error {
	ready := func() bool { ok, _ := p.reporter.ready(); return ok }
	service := caller.NewService(p.holder, p.generations, p.calls, ready, p.log)
	// Compressing a message of a few hundred bytes costs more than sending it.
	path, h := chicoryv1connect.NewCallerServiceHandler(service, connect.WithCompressMinBytes(minCompressBytes), connect.WithReadMaxBytes(maxRequestBytes))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server, err := newCallerServer(closeConnectionsWhen(&p.draining, intake.LimitMessages(mux, p.clients)), p.settings.CallerTLS)
	if err != nil {
		return errors.Trace(err)
	}
	ln, err := net.Listen("tcp", string(p.settings.CallerAddress))
	if err != nil {
		return errors.Annotate(err, "caller address")
	}
	p.callerServer = server
	go p.serveCallers(ln)
	return nil
}

// newCallerServer returns a server for HTTP/1.1 and HTTP/2, with TLS if files is not
// nil. It fails if the certificate or the key can't be loaded.
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

// serveCallers serves until the server is shut down. Any other end is reported as a
// failure of the process.
func (p *Process) serveCallers(ln net.Listener) {
	var err error
	limits := intake.Limits{Name: "callers", Connections: p.settings.Clients.Connections}
	if p.callerServer.TLSConfig != nil {
		err = intake.ServeTLS(p.callerServer, ln, limits, p.clients)
	} else {
		err = intake.Serve(p.callerServer, ln, limits, p.clients)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		p.failed <- errors.Annotate(err, "callers' listener")
	}
}

// closeConnectionsWhen asks clients to close their connections after the response once
// draining is set, so that none sends its next request on a connection that is being
// closed.
func closeConnectionsWhen(draining *atomic.Bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
