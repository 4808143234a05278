package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
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
)

// Process is a running control VM.
type Process struct {
	settings Settings
	log      *logging.Logger
	machine  *state.Machine
	node     *consensus.Node
	routers  *routerTable
	burn     *burn.Tracker
	watches  *watch.Server
	registry metrics.Registry

	termLock sync.Mutex // guards term and evidence
	term     uint64
	evidence *evidence.Store // of the term

	targets   *target.Pool
	peers     *peer.Client // of the replicated log alone
	peerHTTP  *peer.Server
	operators *http.Server
	monitor   *monitor.Server

	folder *os.File // locked while the process runs
	failed chan error

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// Start opens the data folder, joins the other control VMs and serves.
func Start(s Settings, log *logging.Logger) (*Process, error) {
	return start(s, log, disk.OS{})
}

// start is Start with the data folder on fs.
func start(s Settings, log *logging.Logger, fs disk.FS) (*Process, error) {
	keys, err := peer.LoadKeys(s.Keys)
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
	p.watches = watch.NewServer(p.machine)
	p.ctx, p.stop = context.WithCancel(context.Background())
	if p.folder, err = lockFolder(s.DataFolder); err != nil {
		return nil, errors.Trace(err)
	}
	if err := p.startNode(fs); err != nil {
		_ = p.folder.Close()
		return nil, errors.Trace(err)
	}
	if err := p.listen(keys); err != nil {
		p.Stop()
		return nil, errors.Trace(err)
	}
	p.tasks.Add(2)
	go p.runLeaderTasks()
	go p.watchNode()
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

func (p *Process) listen(keys *peer.Keys) error {
	mux := http.NewServeMux()
	path, replica := p.node.Handler()
	mux.Handle(path, peer.RequireRole(replica, peer.RoleControl))
	path, routers := chicoryv1connect.NewControlServiceHandler(&routerService{p})
	mux.Handle(path, peer.RequireRole(routers, peer.RoleRouter))
	server, err := peer.Listen(string(p.settings.PeerAddress), keys, mux)
	if err != nil {
		return errors.Trace(err)
	}
	p.peerHTTP = server
	if err := p.listenOperators(keys); err != nil {
		return errors.Trace(err)
	}
	p.monitor, err = monitor.Listen(string(p.settings.MonitorAddress), p.registry, p.ready)
	return errors.Trace(err)
}

func (p *Process) listenOperators(keys *peer.Keys) error {
	ln, err := net.Listen("tcp", string(p.settings.OperatorAddress))
	if err != nil {
		return errors.Annotate(err, "operator address")
	}
	path, h := chicoryv1connect.NewOperatorServiceHandler(&operatorService{p})
	mux := http.NewServeMux()
	mux.Handle(path, peer.RequireRole(withOperator(h), peer.RoleOperator))
	p.operators = &http.Server{
		Handler:           mux,
		TLSConfig:         keys.ServerConfig(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go func() { _ = p.operators.ServeTLS(ln, "", "") }()
	return nil
}

// ready reports whether this VM takes part and knows a leader.
func (p *Process) ready() (bool, string) {
	if err := p.node.Status().Failed; err != nil {
		return false, err.Error()
	}
	if _, ok := p.node.Leader(); !ok {
		return false, "no leader is known"
	}
	return true, ""
}

// Stop ends the process in order: no new requests, then the log. What was
// answered is durable.
func (p *Process) Stop() {
	p.log.Info(logging.ProcessDraining, nil)
	p.stop()
	p.tasks.Wait()
	if p.monitor != nil {
		p.monitor.Drain()
	}
	if p.operators != nil {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		_ = p.operators.Shutdown(ctx)
		cancel()
	}
	p.node.Stop()
	if p.peerHTTP != nil {
		_ = p.peerHTTP.Close()
	}
	_ = p.peers.Close()
	p.targets.Close()
	if p.monitor != nil {
		_ = p.monitor.Close()
	}
	_ = p.folder.Close()
	p.log.Info(logging.ProcessStopped, nil)
}
