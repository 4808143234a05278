package router

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/control"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/target"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/watch"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/monitor"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/call"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/share"
)

// Process is a running router.
type Process struct {
	settings      Settings
	log           *logging.Logger
	incarnation   string
	registry      metrics.Registry
	clients       *intake.Budget
	holder        *config.Holder
	pool          *target.Pool
	leaderClient  *peer.Client // for requests to the leader
	watchClient   *peer.Client // for the configuration watch
	controlClient *control.Client
	reporter      *reporter
	admitter      *admission.Admitter
	generations   *generation.Service
	calls         *call.Service
	ledger        *call.LedgerClient

	callerServer *http.Server
	peerServer   *peer.Server
	monitor      *monitor.Server

	draining atomic.Bool // callers' connections are closed after each response
	failed   chan error

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// Start starts a router. It refuses callers with NotReady until it runs the
// configuration in force.
func Start(s Settings, log *logging.Logger) (*Process, error) {
	keys, err := peer.LoadCredentials(s.Keys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resumeKey, err := os.ReadFile(s.ResumeKeyFile)
	if err != nil {
		return nil, errors.Annotate(err, "resume key")
	}
	p := &Process{
		settings:    s,
		log:         log,
		incarnation: rand.Text(),
		registry:    metrics.NewRegistry(),
		holder:      &config.Holder{},
		pool: target.NewPoolWith(target.Options{OnReplaced: func(address string) {
			log.Warn(logging.ConnectionReplaced, logging.Fields{"target": address})
		}}),
		leaderClient: peer.NewClient(keys),
		watchClient:  peer.NewClient(keys),
		failed:       make(chan error, 1),
	}
	p.clients = intake.NewProcessBudget(s.Clients.MemoryBytes, p.registry, log)
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.controlClient = control.NewClient(controlVMs(s), p.leaderClient)
	if err := p.assemble(resumeKey); err != nil {
		return nil, errors.Trace(err)
	}
	if err := p.listen(keys); err != nil {
		p.stop()
		return nil, errors.Trace(err)
	}
	log.Info(logging.ProcessStarted, logging.Fields{
		"caller_address": s.CallerAddress, "availability_zone": s.AvailabilityZone, "incarnation": p.incarnation,
	})
	return p, nil
}

// Failed receives the reason when the process can't continue to serve callers.
func (p *Process) Failed() <-chan error {
	return p.failed
}

func controlVMs(s Settings) []control.VM {
	var vms []control.VM
	for _, vm := range s.Control {
		vms = append(vms, control.VM{ID: vm.ID, Address: string(vm.Address)})
	}
	return vms
}

// registerGauges registers the metrics for the revision that the router runs and for
// how outdated it may be.
func (p *Process) registerGauges() {
	_ = p.registry.Register("configuration.leader_silence_ms", metrics.NewFunctionalGauge(p.reporter.silenceMs))
	_ = p.registry.Register("configuration.revision", metrics.NewFunctionalGauge(func() int64 {
		if v := p.holder.Current(); v != nil {
			return int64(v.Revision())
		}
		return 0
	}))
}

func (p *Process) newReporter(collector *evidence.Collector, guard *share.Guard) *reporter {
	return &reporter{
		identity: &chicoryv1.ReportRequest{
			RouterId:         p.settings.ID,
			Incarnation:      p.incarnation,
			AvailabilityZone: string(p.settings.AvailabilityZone),
			Address:          string(p.settings.CallerAddress),
		},
		interval:        p.settings.ReportInterval.Std(),
		client:          p.controlClient,
		holder:          p.holder,
		collector:       collector,
		stoppedVersions: guard.Stopped,
		wake:            make(chan struct{}, 1),
	}
}

// newPlatformClient returns a client for the platform's list of VMs, or nil if none is
// configured.
func (p *Process) newPlatformClient() chicoryv1connect.PlatformServiceClient {
	if p.settings.Platform == "" {
		return nil
	}
	client := &http.Client{Timeout: platformTimeout}
	return chicoryv1connect.NewPlatformServiceClient(client, "http://"+string(p.settings.Platform), peer.ReadLimit)
}

const platformTimeout = 2 * time.Second

func (p *Process) startTasks(targets *observe.Watcher) {
	configurations := control.NewWatcher(p.holder, p.settings.ID, p.watchAddresses(), p.watchClient, p.log,
		func(uint64) { p.reporter.wakeUp() })
	p.reporter.onCommittedRevision = configurations.ExpectRevision
	for _, task := range []func(context.Context){targets.Run, configurations.Run, p.reporter.run} {
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			task(p.ctx)
		}()
	}
}

// watchAddresses returns the addresses to watch configurations from, relays first.
func (p *Process) watchAddresses() []string {
	var out []string
	for _, a := range p.settings.Relays {
		out = append(out, string(a))
	}
	for _, vm := range p.settings.Control {
		out = append(out, string(vm.Address))
	}
	return out
}

func (p *Process) listen(keys *peer.Credentials) error {
	mux := http.NewServeMux()
	path, h := chicoryv1connect.NewControlServiceHandler(&relayService{
		watchServer: watch.NewServer(p.holder),
		done:        p.ctx,
	}, peer.ReadLimit)
	mux.Handle(path, peer.RequireRole(h, peer.RoleRouter))
	server, err := peer.Listen(string(p.settings.PeerAddress), keys, mux)
	if err != nil {
		return errors.Trace(err)
	}
	p.peerServer = server
	p.monitor, err = monitor.Listen(string(p.settings.MonitorAddress), p.registry, p.clients, p.reporter.ready)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(p.listenCallers())
}
