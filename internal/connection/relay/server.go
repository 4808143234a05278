package relay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/ending"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// refusalLogInterval is the minimum time between two log lines about refused connections.
	refusalLogInterval = time.Second
	// targetCheckInterval is the interval at which the targets of open connections are checked.
	targetCheckInterval = 100 * time.Millisecond
)

type serverStream = connect.BidiStream[chicoryv1.RelayServiceConnectRequest, chicoryv1.RelayServiceConnectResponse]

// ServerOptions configure a server. All fields are required.
type ServerOptions struct {
	// IsTarget reports whether address is a target of the current list.
	IsTarget func(address string) bool
	// TakesRequests reports whether the target at address wants further requests from this VM: it
	// can't tell those that this VM relays from its own.
	TakesRequests func(address string) bool
	// IsEntryVM reports whether ip is that of an entry VM of the system.
	IsEntryVM func(ip string) bool
	// Dial opens direct connections and limits the time for that. The connections should
	// have the method SetLinger of net.TCPConn, with which a target notices at once that the
	// client has left.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxConnections limits the connections relayed at a time; further ones are refused.
	MaxConnections int
	Logger         *logging.Logger
	Registry       metrics.Registry
}

// Server forwards connections of other entry VMs to targets.
type Server struct {
	opts   ServerOptions
	gauge  metrics.Gauge
	opened metrics.Counter
	denied metrics.Counter
	bytes  metrics.Counter

	mu          sync.Mutex // guards the fields below
	draining    bool
	connections int
	unlogged    int // refusals since the last line
	loggedAt    time.Time
	// links has the open connections, with true for those whose targets wanted requests so far.
	links    map[*link]bool
	checking bool // a task checks the targets of links
}

var _ chicoryv1connect.RelayServiceHandler = (*Server)(nil)

// NewServer returns a server without connections.
func NewServer(o ServerOptions) *Server {
	return &Server{
		opts:   o,
		gauge:  metrics.GetOrRegisterGauge("relay.connections", o.Registry),
		opened: metrics.GetOrRegisterCounter("relay.opened", o.Registry),
		denied: metrics.GetOrRegisterCounter("relay.refused", o.Registry),
		bytes:  metrics.GetOrRegisterCounter("relay.bytes", o.Registry),
		links:  map[*link]bool{},
	}
}

// Handler returns the path of the service and its handler. The HTTP server must be set up
// with ConfigureServer.
func (s *Server) Handler() (string, http.Handler) {
	return chicoryv1connect.NewRelayServiceHandler(s, readLimit)
}

// Drain makes the server refuse new connections. Open ones continue.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Connections returns the number of connections that are open or being opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Connect implements chicoryv1connect.RelayServiceHandler. It returns when the client has
// closed the connection or is lost.
func (s *Server) Connect(ctx context.Context, stream *serverStream) error {
	caller, first, err := s.admit(stream)
	if err != nil {
		return s.refuse(err)
	}
	if err := s.reserve(caller); err != nil {
		return s.refuse(err)
	}
	defer s.release()
	conn, err := s.dial(ctx, first)
	if refusal := new(fault.Error); errors.As(err, &refusal) {
		return s.refuse(refusal) // this VM has no path to the target
	}
	if err != nil {
		return stream.Send(&chicoryv1.RelayServiceConnectResponse{End: endOf(err), Reason: err.Error()})
	}
	s.opened.Inc(1)
	keepAlive(conn)
	l := &link{stream: stream, conn: ending.New(conn), target: first.GetTarget(), bytes: s.bytes}
	defer l.abort()
	if err := stream.Send(&chicoryv1.RelayServiceConnectResponse{}); err != nil {
		return err
	}
	s.add(l)
	err = l.forward(ctx)
	s.remove(l)
	return err
}

// add adds an open connection, whose target is checked from then on.
func (s *Server) add(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[l] = true
	if !s.checking {
		s.checking = true
		go s.checkTargets()
	}
}

// remove removes a connection and waits until nothing more is sent to its client.
func (s *Server) remove(l *link) {
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
	l.notice.Wait()
}

// checkTargets tells the clients of connections whose targets want no further requests, until there are no
// connections.
func (s *Server) checkTargets() {
	ticks := time.NewTicker(targetCheckInterval)
	defer ticks.Stop()
	for range ticks.C {
		if !s.checkLinks() {
			return
		}
	}
}

// checkLinks checks the target of each connection once. It reports false if there are none.
func (s *Server) checkLinks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, isUnnoticed := range s.links {
		if isUnnoticed && !s.opts.TakesRequests(l.target) {
			s.links[l] = false
			l.notice.Go(l.sendClosing)
		}
	}
	s.checking = len(s.links) > 0
	return s.checking
}

// admit reads the first message and checks that the caller may connect to its target.
func (s *Server) admit(stream *serverStream) (caller string, first *chicoryv1.RelayServiceConnectRequest, err error) {
	from, err := netip.ParseAddrPort(stream.Peer().Addr)
	if err != nil {
		return "", nil, fault.New(fault.PermissionDenied, "the caller's address %q is invalid", stream.Peer().Addr)
	}
	caller = from.Addr().Unmap().String()
	if !s.opts.IsEntryVM(caller) {
		return "", nil, fault.New(fault.PermissionDenied, "%s is not an entry VM", caller)
	}
	first, err = stream.Receive()
	if err != nil {
		return "", nil, fault.New(fault.InvalidArgument, "first message: %v", err)
	}
	target, err := netip.ParseAddrPort(first.GetTarget())
	if err != nil || target.Port() == 0 {
		return "", nil, fault.New(fault.InvalidArgument, "the address %q is not an IP:port", first.GetTarget())
	}
	if !s.opts.IsTarget(first.GetTarget()) {
		return "", nil, fault.New(fault.PermissionDenied, "%s is not a target", first.GetTarget())
	}
	if !s.opts.TakesRequests(first.GetTarget()) {
		return "", nil, fault.New(fault.NoTarget, "target %s wants no further requests from this VM", first.GetTarget())
	}
	return caller, first, nil
}

// refuse counts a refused connection and returns the error for its caller.
func (s *Server) refuse(err error) error {
	s.denied.Inc(1)
	return fault.ToConnect(err, "")
}

// reserve counts one more connection, or refuses it.
func (s *Server) reserve(caller string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return fault.New(fault.Draining, "the entry VM is shutting down")
	}
	if s.connections >= s.opts.MaxConnections {
		s.logRefusal(caller)
		return fault.New(fault.Overloaded, "%d connections are relayed already", s.connections)
	}
	s.connections++
	s.gauge.Update(int64(s.connections))
	return nil
}

// logRefusal writes a line if the last one is old enough. The caller must hold mu.
func (s *Server) logRefusal(caller string) {
	s.unlogged++
	if time.Since(s.loggedAt) < refusalLogInterval {
		return
	}
	s.opts.Logger.Warn(logging.RelayRefused, logging.Fields{
		"caller": caller, "connections": s.connections, "refused": s.unlogged,
	})
	s.unlogged, s.loggedAt = 0, time.Now()
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
	s.gauge.Update(int64(s.connections))
}

// dial connects to the target within the time that its caller has left.
func (s *Server) dial(ctx context.Context, first *chicoryv1.RelayServiceConnectRequest) (net.Conn, error) {
	if ms := first.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	return s.opts.Dial(ctx, "tcp", first.GetTarget())
}
