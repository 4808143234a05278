package keeper

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/monitor"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

const (
	readHeaderTimeout = 3 * time.Second
	shutdownTimeout   = time.Second
	// operatorConnections is the number of connections of operators unless the settings name one: some
	// operators and scripts for each of 69 entry VMs.
	operatorConnections = 256
)

// Adapter provides the platform-specific parts of a keeper.
type Adapter interface {
	observe.TargetReader
	// Operators returns the handler of the operator API.
	Operators(d *DeclarationStore) http.Handler
}

// Process is a running keeper.
type Process struct {
	settings   Settings
	log        *logging.Logger
	registry   metrics.Registry
	replica    *replica
	targetList *observe.TargetListPoller
	board      *feed.SharedState

	clients   *intake.Budget
	peers     *http.Server
	operators *http.Server
	monitor   *monitor.Server

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// Start listens for peers and operators, opens the data folder and connects to the
// other control VMs.
func Start(s Settings, adapter Adapter, log *logging.Logger) (*Process, error) {
	p := &Process{
		settings:   s,
		log:        log,
		registry:   metrics.NewRegistry(),
		targetList: observe.NewTargetListPoller(adapter, log),
		board:      feed.NewSharedState(),
	}
	p.clients = intake.NewProcessBudget(s.Clients.MemoryBytes, p.registry, log)
	p.replica = newReplica(s, disk.OS{}, log)
	metrics.NewRegisteredFunctionalGauge("log.lines_left_out", p.registry, log.Dropped)
	metrics.NewRegisteredFunctionalGauge("declared.version", p.registry, func() int64 {
		latest, _ := p.replica.declaration()
		return int64(latest.GetVersion())
	})
	p.ctx, p.stop = context.WithCancel(context.Background())
	if err := p.listen(adapter); err != nil {
		p.Stop()
		return nil, errors.Trace(err)
	}
	p.tasks.Go(func() { p.replica.run(p.ctx) })
	p.tasks.Go(p.syncPromptLocations)
	p.tasks.Go(func() { p.targetList.Run(p.ctx, p.mustReadTargets) })
	log.Info(logging.ProcessStarted, logging.Fields{
		"peer_address": p.replica.id, "operator_address": s.OperatorAddress, "may_found": s.MayFound, "seeds": s.Seeds,
	})
	return p, nil
}

func (p *Process) mustReadTargets() bool {
	_, _, leads := p.replica.members()
	return p.targetList.MustRead(leads)
}

// syncPromptLocations loads the saved prompt locations, follows the leader for new ones and
// for the target list, and saves the locations.
func (p *Process) syncPromptLocations() {
	locations := p.newPromptLocationSync(p.board)
	locations.load()
	follower := feed.NewFollower(feed.FollowerOptions{
		ID:          p.settings.ID,
		Seeds:       settings.WithPort(p.settings.Seeds, p.settings.PeerPort),
		Client:      peer.NewPlainClient(),
		Sink:        locations,
		Logger:      logging.Discard(), // lost peers are already logged by the replica
		SelfAddress: p.replica.id,
		FeedCount:   1,
	})
	p.tasks.Go(func() { follower.Run(p.ctx) })
	locations.run(p.ctx)
}

func (p *Process) listen(adapter Adapter) error {
	mux := http.NewServeMux()
	mux.Handle("/"+chicoryv1connect.ReplicaServiceName+"/", p.replica)
	path, feeds := chicoryv1connect.NewFeedServiceHandler(feed.NewServer(feedSource{p}, p.board), peer.ReadLimit)
	mux.Handle(path, feeds)
	declarations := newDeclarationStore(p.replica, p.log)
	path, h := chicoryv1connect.NewDeclarationServiceHandler(declarationService{declarations}, peer.ReadLimit)
	mux.Handle(path, h)
	var err error
	if p.peers, err = p.serve("peers", p.settings.resolvePeerListenAddress(), 0, mux); err != nil {
		return errors.Annotate(err, "peer port")
	}
	connections := cmp.Or(p.settings.Clients.Connections, operatorConnections)
	if p.operators, err = p.serve("operators", string(p.settings.OperatorAddress), connections, adapter.Operators(declarations)); err != nil {
		return errors.Annotate(err, "operator address")
	}
	p.monitor, err = monitor.Listen(string(p.settings.MonitorAddress), p.registry, p.clients, p.ready)
	return errors.Trace(err)
}

// serve serves a port with at most the given number of connections; 0 means intake.DefaultConnections.
func (p *Process) serve(port, address string, connections int, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	limits := intake.Limits{Name: port, Connections: connections}
	go func() { _ = intake.Serve(s, ln, limits, p.clients) }() // returns when the server is closed
	return s, nil
}

// ready reports whether this VM knows a leader, and why it is not ready otherwise.
func (p *Process) ready() (bool, string) {
	if _, leader, _ := p.replica.members(); leader == "" {
		return false, "no leader is known"
	}
	return true, ""
}

// Stop shuts down in order: it stops accepting operator requests, then stops the log.
// Confirmed requests are already durable.
func (p *Process) Stop() {
	p.log.Info(logging.ProcessDraining, nil)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if p.operators != nil {
		_ = p.operators.Shutdown(ctx) // requests still open after the timeout are dropped
	}
	p.stop()
	p.tasks.Wait()
	if p.peers != nil {
		_ = p.peers.Close()
	}
	if p.monitor != nil {
		_ = p.monitor.Close()
	}
	p.log.Info(logging.ProcessStopped, nil)
}
