package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/relay"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
)

const (
	// maxRelayedConnections limits the connections that this VM relays for others, each of which
	// may hold some 100 KB.
	maxRelayedConnections = 128
	peerHeaderTimeout     = 3 * time.Second
	// maxPeerConnections is the number of connections from other entry VMs, each of which has one or
	// two to a helper.
	maxPeerConnections = 128
	// relayCheckInterval is the interval at which a VM that stops checks whether it still relays
	// connections.
	relayCheckInterval = 20 * time.Millisecond
)

// relaying connects this VM to targets through others, and others through this one.
type relaying struct {
	paths  *paths.Table
	client *relay.Client
	server *relay.Server
	http   *http.Server // nil until listen
}

// limitedProber probes only targets that may get another request: a probe is one as well.
type limitedProber struct {
	paths.Prober
	limits request.RateLimits
}

// PathProbe implements paths.Prober.
func (l limitedProber) PathProbe(address string) []byte {
	if !l.limits.Take(address) {
		return nil
	}
	return l.Prober.PathProbe(address)
}

// newRelaying returns the paths of an entry VM. Its routing state knows the targets and the other
// entry VMs.
func (p *Process) newRelaying(prober paths.Prober, engines *placement.EngineTable) *relaying {
	r := &relaying{client: relay.NewClient(relay.ClientOptions{Logger: p.log, Registry: p.registry, LocalIP: p.routingState.selfIP()})}
	r.paths = paths.NewTable(paths.Options{
		ID:               p.settings.ID,
		AvailabilityZone: string(p.settings.AvailabilityZone),
		Dial:             (&net.Dialer{}).DialContext,
		Relay:            r.client,
		Prober:           limitedProber{prober, p.routingState.limits},
		Peers:            p.routingState.peers,
		Targets:          p.routingState.targetList,
		OnBroken:         engines.PathLost,
		Logger:           p.log,
		Registry:         p.registry,
		Settings:         paths.Defaults(),
	})
	r.server = relay.NewServer(relay.ServerOptions{
		IsTarget:       p.routingState.isTarget,
		TakesRequests:  p.routingState.takesRequests,
		IsEntryVM:      p.routingState.isEntryVM,
		Dial:           r.paths.DialForPeer,
		MaxConnections: maxRelayedConnections,
		Logger:         p.log,
		Registry:       p.registry,
	})
	return r
}

// listen serves other entry VMs at the peer address.
func (r *relaying) listen(address string, clients *intake.Budget) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "peer address")
	}
	mux := http.NewServeMux()
	mux.Handle(r.server.Handler())
	r.http = &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	relay.ConfigureServer(r.http)
	limits := intake.Limits{Name: "relay", Connections: maxPeerConnections}
	go func() { _ = intake.Serve(r.http, ln, limits, clients) }() // returns when the server is closed
	return nil
}

// drain refuses further connections of other VMs and waits until those that are open have ended or
// ctx ends.
func (r *relaying) drain(ctx context.Context) {
	for r.server.Connections() > 0 && ctx.Err() == nil {
		time.Sleep(relayCheckInterval)
	}
}

// close ends all connections.
func (r *relaying) close() {
	r.paths.Close()
	r.client.Close()
	if r.http != nil {
		_ = r.http.Close()
	}
}
