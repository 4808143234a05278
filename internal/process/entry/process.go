package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/frontend"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/monitor"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// Adapter provides the platform-specific parts of an entry VM.
type Adapter interface {
	frontend.Codec
	exchange.TargetProtocol
	exchange.EngineProber
	observe.TargetReader
	Decoder
	HealthChecker
	// DialEngines makes probes and health checks of targets open their connections with dial. It is called once,
	// before the first probe.
	DialEngines(dial func(ctx context.Context, network, address string) (net.Conn, error))
	paths.Prober
}

// Process is a running entry VM.
type Process struct {
	settings     Settings
	log          *logging.Logger
	registry     metrics.Registry
	routingState *routingState
	follower     *feed.Follower
	relaying     *relaying
	pool         *http1.Pool
	retryBudgets *retryBudgets
	clients      *intake.Budget

	front   *frontend.Frontend
	ready   *monitor.Server
	monitor *monitor.Server

	// draining: the process is about to stop.
	draining atomic.Bool

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// Start follows the feeds of the control VMs and serves callers.
func Start(s Settings, adapter Adapter, log *logging.Logger) (*Process, error) {
	registry := metrics.NewRegistry()
	limits := ratelimit.NewTable(ratelimit.Options{EntryVMs: defaultEntryVMs, Logger: log, Registry: registry})
	engines := placement.NewEngineTable(placement.Defaults(), string(s.AvailabilityZone), limits)
	speeds := speed.NewTable()
	engines.SetSpeeds(speeds)
	p := &Process{
		settings:     s,
		log:          log,
		registry:     registry,
		retryBudgets: newRetryBudgets(s.Retry, registry),
		clients:      intake.NewProcessBudget(s.Clients.MemoryBytes, registry, log),
	}
	metrics.NewRegisteredFunctionalGauge("log.lines_left_out", registry, log.Dropped)
	metrics.NewRegisteredFunctionalGauge("declared.version", registry, func() int64 { return int64(p.routingState.DeclaredVersion()) })
	suspects := quarantine.NewTable(quarantine.Options{ID: s.ID, IsShared: exchange.IsShared, Random: rand.Float64})
	p.routingState = newRoutingState(adapter, engines, suspects, limits, p.retryBudgets, s.DrainTime.Std(), log)
	p.routingState.self, p.routingState.speeds = s.peer(), speeds
	registerSpeedGauges(speeds, registry)
	p.relaying = p.newRelaying(adapter, engines)
	p.routingState.isCutOff = p.cannotRelay
	p.pool = http1.NewPoolWithDial(p.relaying.paths.Dial, http1.Defaults(), registry)
	adapter.DialEngines(p.relaying.paths.Dial)
	p.follower = feed.NewFollower(feed.FollowerOptions{
		ID:     s.ID,
		Seeds:  settings.WithPort(s.Seeds, s.PeerPort),
		Client: peer.NewPlainClient(),
		Sink:   p.routingState,
		Logger: log,
	})
	metrics.NewRegisteredFunctionalGauge("list.age_ms", registry, func() int64 { return p.routingState.listAge().Milliseconds() })
	metrics.NewRegisteredFunctionalGauge("targets.excluded", registry, p.routingState.excludedTargets)
	metrics.NewRegisteredFunctionalGauge("feeds", registry, func() int64 { return int64(p.follower.FollowedCount()) })
	p.ctx, p.stop = context.WithCancel(context.Background())
	if err := p.listen(adapter, engines); err != nil {
		p.closeAll()
		return nil, errors.Trace(err)
	}
	p.tasks.Go(func() { p.follower.Run(p.ctx) })
	p.tasks.Go(func() { p.routingState.checkLeavingTargets(p.ctx, adapter) })
	p.tasks.Go(func() { p.routingState.readStaleList(p.ctx, observe.NewTargetListPoller(adapter, log)) })
	log.Info(logging.ProcessStarted, logging.Fields{"caller_address": s.CallerAddress, "seeds": s.Seeds})
	return p, nil
}

func (p *Process) listen(adapter Adapter, engines *placement.EngineTable) error {
	loads := observe.NewTable(observe.Defaults())
	server := exchange.New(exchange.Options{
		Pool:     p.pool,
		Protocol: adapter,
		Prober:   adapter,
		Picker: routing.NewPicker(routing.Options{
			Holder:   p.routingState.targets,
			Zone:     string(p.settings.AvailabilityZone),
			Loads:    loads,
			Limits:   p.routingState.limits,
			Speeds:   p.routingState.speeds,
			Logger:   p.log,
			Settings: routing.Defaults(),
		}),
		Loads:           loads,
		Engines:         engines,
		Limits:          p.routingState.limits,
		Speeds:          p.routingState.speeds,
		HighestPriority: p.routingState.highestPriority,
		OnLeaving:       p.routingState.announceLeaving,
		Quarantine:      p.routingState.quarantine,
		Budget:          p.retryBudgets.forService,
		Logger:          p.log,
		Registry:        p.registry,
		Settings:        exchange.Defaults(),
		Paths:           p.relaying.paths,
	})
	p.routingState.queue = server
	if err := p.relaying.listen(p.routingState.self.PeerAddress, p.clients); err != nil {
		return errors.Trace(err)
	}
	var err error
	if p.front, err = frontend.Listen(string(p.settings.CallerAddress), frontend.Options{
		Codec: adapter, Handler: server, Holder: p.routingState.declared, Started: p.routingState.initialized, Logger: p.log, Registry: p.registry, Random: rand.Uint64,
		Budget: p.clients, MaxConnections: p.settings.Clients.Connections,
	}); err != nil {
		return errors.Trace(err)
	}
	if p.ready, err = monitor.Listen(string(p.settings.ReadyAddress), p.registry, p.clients, p.isReady); err != nil {
		return errors.Trace(err)
	}
	p.monitor, err = monitor.Listen(string(p.settings.MonitorAddress), p.registry, p.clients, p.isReady)
	return errors.Trace(err)
}

// isReady reports whether requests can be served, and the reason if not.
func (p *Process) isReady() (bool, string) {
	if !p.relaying.paths.CanReachTargets() {
		return false, "neither this VM nor another one that it reaches has a path to the targets"
	}
	return p.routingState.ready()
}

// cannotRelay reports whether this VM opens no connections for others: it reaches no target, or is
// about to stop.
func (p *Process) cannotRelay() bool {
	return p.draining.Load() || p.relaying.paths.IsCutOff()
}

// Reload applies the settings that may change while the process runs: the seeds.
func (p *Process) Reload(s Settings) {
	p.follower.AddSeeds(settings.WithPort(s.Seeds, s.PeerPort))
	p.log.Info(logging.SettingsReloaded, logging.Fields{"seeds": s.Seeds})
}

// Timing of a shutdown.
const (
	// loadBalancerDelay is how long new connections and requests are accepted after
	// readiness fails: the load balancer checks every second and stops sending traffic
	// after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// shutdownMargin is how long before the end of the grace period the connections
	// that are still open are closed.
	shutdownMargin = 300 * time.Millisecond
)

// Stop shuts down in order. First, readiness fails and responses announce that the
// connection will be closed. Once the load balancer must have noticed, further requests
// are refused as not run. Requests that were accepted are completed within the grace
// period.
func (p *Process) Stop() {
	begin := time.Now()
	p.log.Info(logging.ProcessDraining, nil)
	p.draining.Store(true)
	p.ready.Drain()
	p.front.StartDraining()
	time.Sleep(min(loadBalancerDelay, p.settings.StopGrace.Std()/2))
	p.front.RejectRequests()
	p.relaying.server.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), begin.Add(p.settings.StopGrace.Std()-shutdownMargin))
	defer cancel()
	if err := p.front.Shutdown(ctx); err != nil {
		p.log.Warn(logging.ProcessDraining, logging.Fields{"reason": err})
	}
	p.relaying.drain(ctx)
	p.closeAll()
	p.tasks.Wait()
	p.log.Info(logging.ProcessStopped, nil)
}

// closeAll stops all tasks and closes all connections.
func (p *Process) closeAll() {
	p.stop()
	p.pool.Close()
	p.relaying.close()
	for _, m := range []*monitor.Server{p.ready, p.monitor} {
		if m != nil {
			_ = m.Close()
		}
	}
}
