package peer

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Limits of a QUIC connection between two processes of the system.
const (
	keepAlivePeriod  = 5 * time.Second
	idleTimeout      = 12 * time.Second
	handshakeTimeout = 3 * time.Second
	maxStreams       = 4096
)

// Role is the role of a process or operator. It is stored as the organizational unit of
// the certificate.
type Role string

// The roles in certificates.
const (
	RoleRouter   Role = "router"
	RoleControl  Role = "control"
	RoleOperator Role = "operator"
)

// Identity is the subject of a peer's certificate.
type Identity struct {
	ID   string
	Role Role
}

// IdentityOf returns the identity of the peer that sent r. It fails with the kind
// Unauthenticated when the request has no verified client certificate.
func IdentityOf(r *http.Request) (Identity, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return Identity{}, fault.New(fault.Unauthenticated, "no client certificate")
	}
	subject := r.TLS.PeerCertificates[0].Subject
	id := Identity{ID: subject.CommonName}
	if len(subject.OrganizationalUnit) > 0 {
		id.Role = Role(subject.OrganizationalUnit[0])
	}
	return id, nil
}

// RequireRole returns a handler that passes requests to h only if the peer has one of
// the given roles.
func RequireRole(h http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, err := IdentityOf(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		for _, role := range roles {
			if id.Role == role {
				h.ServeHTTP(w, r)
				return
			}
		}
		http.Error(w, "role "+string(id.Role)+" may not use this service", http.StatusForbidden)
	})
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIdleTimeout:       idleTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
	}
}

// Server serves HTTP/3 to peers on one UDP address.
type Server struct {
	h3   *http3.Server
	conn net.PacketConn
	done chan error // receives the result of h3.Serve
}

// Listen binds the UDP address (IP:port) and serves h until Close.
func Listen(address string, credentials *Credentials, h http.Handler) (*Server, error) {
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on peer address %s", address)
	}
	return ListenOn(conn, credentials, h), nil
}

// ListenOn serves h on conn, which is bound already, until Close.
func ListenOn(conn net.PacketConn, credentials *Credentials, h http.Handler) *Server {
	s := &Server{
		h3: &http3.Server{
			TLSConfig:  http3.ConfigureTLSConfig(credentials.ServerConfig()),
			QUICConfig: quicConfig(),
			Handler:    h,
		},
		conn: conn,
		done: make(chan error, 1),
	}
	go func() { s.done <- s.h3.Serve(conn) }()
	return s
}

// Addr returns the address that the server is bound to.
func (s *Server) Addr() net.Addr {
	return s.conn.LocalAddr()
}

// Close closes all connections and releases the address.
func (s *Server) Close() error {
	err := s.h3.Close()
	<-s.done
	if closeErr := s.conn.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// BaseURL returns the base URL of the services of the peer at address.
func BaseURL(address string) string {
	return "https://" + address
}
