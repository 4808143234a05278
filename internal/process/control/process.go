package control

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
	"github.com/chicoryswitch/chicoryswitch/internal/process/burn"
	"github.com/chicoryswitch/chicoryswitch/internal/process/consensus"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/monitor"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
	// operatorConnections is the number of connections of operators unless the settings name one.
	operatorConnections = 256
)

// Process is a running control VM.
type Process struct {
	settings    Settings
	log         *logging.Logger
	machine     *state.Machine
	node        *consensus.Node
	routers     *routerTable
	burn        *burn.Tracker
	watchServer *watch.Server
	registry    metrics.Registry
	clients     *intake.Budget

	termMu   sync.Mutex // guards term and evidence
	term     uint64
	evidence *evidence.Store // received in term

	targets        *target.Pool
	peers          *peer.Client // used only by the replicated log
	peerServer     *peer.Server
	operatorServer *http.Server
	monitor        *monitor.Server

	dataFolderLock *os.File // locked while the process runs
	failed         chan error

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// Start opens the data folder, joins the other control VMs and starts to serve.
func Start(s Settings, log *logging.Logger) (*Process, error) {
	return start(s, log, disk.OS{})
}

// start is Start with the file system of the data folder as a parameter.
func start(s Settings, log *logging.Logger, fs disk.FS) (*Process, error) {
	keys, err := peer.LoadCredentials(s.Keys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Process{
		settings: s,
		log:      log,
		machine:  state.New(ledgerSettings(s)),
		routers:  newRouterTable(),
		evidence: evidence.NewStore(),
		burn:     burn.NewTracker(),
		registry: metrics.NewRegistry(),
		targets:  target.NewPool(nil),
		peers:    peer.NewClient(keys),
		failed:   make(chan error, 1),
	}
	p.clients = intake.NewProcessBudget(s.Clients.MemoryBytes, p.registry, log)
	p.watchServer = watch.NewServer(p.machine)
	p.ctx, p.stop = context.WithCancel(context.Background())
	if p.dataFolderLock, err = lockDataFolder(s.DataFolder); err != nil {
		return nil, errors.Trace(err)
	}
	if err := p.startNode(fs); err != nil {
		_ = p.dataFolderLock.Close()
		return nil, errors.Trace(err)
	}
	if err := p.listen(keys); err != nil {
		p.Stop()
		return nil, errors.Trace(err)
	}
	p.tasks.Add(2)
	go p.runLeaderTasks()
	go p.watchNodeFailure()
	log.Info(logging.ProcessStarted, logging.Fields{"peer_address": s.PeerAddress, "operator_address": s.OperatorAddress})
	return p, nil
}

func ledgerSettings(s Settings) ledger.Settings {
	l := ledger.DefaultSettings()
	l.Retention = s.KeyRetention.Std()
	return l
}

func (p *Process) startNode(fs disk.FS) error {
	var members []consensus.Member
	for _, vm := range p.settings.Control {
		members = append(members, consensus.Member{ID: vm.ID, Address: string(vm.Address)})
	}
	node, err := consensus.Start(consensus.Options{
		ID:           p.settings.ID,
		Members:      members,
		DataFolder:   p.settings.DataFolder,
		Transport:    consensus.NewPeerTransport(p.peers),
		StateMachine: p.machine,
		Logger:       p.log,
		FS:           fs,
	})
	p.node = node
	return errors.Trace(err)
}

func (p *Process) listen(keys *peer.Credentials) error {
	mux := http.NewServeMux()
	path, replica := p.node.Handler()
	mux.Handle(path, peer.RequireRole(replica, peer.RoleControl))
	path, routers := chicoryv1connect.NewControlServiceHandler(&routerService{p}, peer.ReadLimit)
	mux.Handle(path, peer.RequireRole(routers, peer.RoleRouter))
	server, err := peer.Listen(string(p.settings.PeerAddress), keys, mux)
	if err != nil {
		return errors.Trace(err)
	}
	p.peerServer = server
	if err := p.listenOperators(keys); err != nil {
		return errors.Trace(err)
	}
	p.monitor, err = monitor.Listen(string(p.settings.MonitorAddress), p.registry, p.clients, p.ready)
	return errors.Trace(err)
}

func (p *Process) listenOperators(keys *peer.Credentials) error {
	ln, err := net.Listen("tcp", string(p.settings.OperatorAddress))
	if err != nil {
		return errors.Annotate(err, "operator address")
	}
	path, h := chicoryv1connect.NewOperatorServiceHandler(&operatorService{p}, peer.ReadLimit)
	mux := http.NewServeMux()
	mux.Handle(path, peer.RequireRole(withOperatorName(intake.LimitMessages(h, p.clients)), peer.RoleOperator))
	p.operatorServer = &http.Server{
		Handler:           mux,
		TLSConfig:         keys.ServerConfig(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	limits := intake.Limits{Name: "operators", Connections: cmp.Or(p.settings.Clients.Connections, operatorConnections)}
	go func() { _ = intake.ServeTLS(p.operatorServer, ln, limits, p.clients) }()
	return nil
}

// ready reports whether the replica on this VM works and knows a leader, and if not,
// the reason.
func (p *Process) ready() (bool, string) {
	if err := p.node.Status().Err; err != nil {
		return false, err.Error()
	}
	if _, ok := p.node.Leader(); !ok {
		return false, "no leader is known"
	}
	return true, ""
}

// Stop shuts the process down in order: first the tasks and the operators' requests,
// then the replicated log. Everything that was acknowledged is durable.
func (p *Process) Stop() {
	p.log.Info(logging.ProcessDraining, nil)
	p.stop()
	p.tasks.Wait()
	if p.monitor != nil {
		p.monitor.Drain()
	}
	if p.operatorServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		_ = p.operatorServer.Shutdown(ctx)
		cancel()
	}
	p.node.Stop()
	if p.peerServer != nil {
		_ = p.peerServer.Close()
	}
	_ = p.peers.Close()
	p.targets.Close()
	if p.monitor != nil {
		_ = p.monitor.Close()
	}
	_ = p.dataFolderLock.Close()
	p.log.Info(logging.ProcessStopped, nil)
}
