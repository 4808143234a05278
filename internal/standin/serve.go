package standin

import (
	"net"
	"net/http"
)

// NewServer returns an HTTP server for the replica. It supports HTTP/1.1 and HTTP/2
// without TLS.
func NewServer(r *Replica) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: r.Handler(), Protocols: p}
}

// Listen starts a replica that serves at opts.Address, and returns it and its server.
// Closing both stops it at once and breaks its connections, as a crash does.
func Listen(opts Options) (*Replica, *http.Server, error) {
	ln, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, nil, err
	}
	opts.Address = ln.Addr().String()
	r := NewReplica(opts)
	s := NewServer(r)
	go func() { _ = s.Serve(ln) }()
	return r, s, nil
}

// Address returns the IP:port at which the replica serves.
func (r *Replica) Address() string {
	return r.opts.Address
}
