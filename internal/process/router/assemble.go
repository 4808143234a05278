package router

import (
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/call"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/request/retry"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/share"
)

// sharedComponents are used by both the generation service and the call service.
type sharedComponents struct {
	loads   *observe.Table
	picker  *routing.Picker
	guard   *share.Guard
	chooser *share.Chooser
	budget  *retry.Budget
}

// assemble builds the services for generations and calls and starts the router's tasks.
func (p *Process) assemble(resumeKey []byte) error {
	shared := p.newSharedComponents()
	if err := p.newGenerationService(shared, resumeKey); err != nil {
		return errors.Trace(err)
	}
	p.newCallService(shared)
	p.startTasks(observe.NewWatcher(observe.Options{
		Holder: p.holder, Table: shared.loads, Pool: p.pool,
		Platform: p.newPlatformClient(), Settings: p.settings.Observe,
	}))
	return nil
}

// newSharedComponents builds what both services use, the reporter and the admitter.
func (p *Process) newSharedComponents() *sharedComponents {
	s := &sharedComponents{loads: observe.NewTable(p.settings.Observe)}
	collector := evidence.NewCollector()
	s.guard = share.NewGuard(p.holder, collector, time.Now, p.log)
	s.chooser = share.NewChooser(p.holder, s.guard)
	p.reporter = p.newReporter(collector, s.guard)
	p.log.Observe(p.reporter.observeEvent)
	p.registerGauges()
	s.picker = routing.NewPicker(routing.Options{
		Holder: p.holder, Zone: string(p.settings.AvailabilityZone), Loads: s.loads,
		Logger: p.log, Settings: p.settings.Routing, Routers: p.reporter.liveRouters,
	})
	p.admitter = admission.New(admission.Options{
		Holder: p.holder, Routers: p.reporter.liveRouters, Capacity: s.picker.Capacity,
		Registry: p.registry, Settings: p.settings.Admission,
	})
	s.budget = retry.NewBudget(retry.Options{
		Settings: p.settings.Retry, Registry: p.registry,
		Saturated: func() bool { return p.admitter.HasQueuedCalls() && !s.picker.HasImpairedTargets() },
	})
	return s
}

func (p *Process) newGenerationService(s *sharedComponents, resumeKey []byte) (err error) {
	p.generations, err = generation.New(generation.Options{
		Holder: p.holder, Pool: p.pool, Picker: s.picker, Admitter: p.admitter, Chooser: s.chooser,
		Budget: s.budget, Recorder: s.guard, TokenKey: resumeKey, RouterID: p.settings.ID,
		AvailabilityZone: string(p.settings.AvailabilityZone),
		Logger:           p.log, Metrics: p.registry, Settings: p.settings.Generation,
	})
	return errors.Trace(err)
}

func (p *Process) newCallService(s *sharedComponents) {
	p.ledger = call.NewLedgerClient(p.controlClient, call.BatchSettings{})
	p.calls = call.New(call.Options{
		Holder: p.holder, Pool: p.pool, Picker: s.picker, Admitter: p.admitter, Chooser: s.chooser,
		Budget: s.budget, Recorder: s.guard, Ledger: p.ledger,
		RouterID: p.settings.ID, Incarnation: p.incarnation,
		AvailabilityZone: string(p.settings.AvailabilityZone),
		Logger:           p.log, Settings: p.settings.Calls.settings(),
	})
}
