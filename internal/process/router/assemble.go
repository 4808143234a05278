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

// shared is what the paths of generations and of calls both use.
type shared struct {
	loads   *observe.Table
	picker  *routing.Picker
	guard   *share.Guard
	chooser *share.Chooser
	budget  *retry.Budget
}

// assemble builds the paths of requests and starts the router's tasks.
func (p *Process) assemble(resumeKey []byte) error {
	s := p.newShared()
	if err := p.newGenerations(s, resumeKey); err != nil {
		return errors.Trace(err)
	}
	p.newCalls(s)
	p.startTasks(observe.NewWatcher(observe.Options{
		Holder: p.holder, Table: s.loads, Pool: p.pool,
		Platform: p.platform(), Settings: p.settings.Observe,
	}))
	return nil
}

// newShared builds what both paths use, the reports and the admission.
func (p *Process) newShared() *shared {
	s := &shared{loads: observe.NewTable(p.settings.Observe)}
	collector := evidence.NewCollector()
	s.guard = share.NewGuard(p.holder, collector, time.Now, p.log)
	s.chooser = share.NewChooser(p.holder, s.guard)
	p.reports = p.newReporter(collector, s.guard)
	p.log.Observe(p.reports.observe)
	p.registerGauges()
	s.picker = routing.NewPicker(routing.Options{
		Holder: p.holder, Zone: string(p.settings.AvailabilityZone), Loads: s.loads,
		Logger: p.log, Settings: p.settings.Routing, Routers: p.reports.liveRouters,
	})
	p.admitter = admission.New(admission.Options{
		Holder: p.holder, Routers: p.reports.liveRouters, Capacity: s.picker.Capacity,
		Registry: p.registry, Settings: p.settings.Admission,
	})
	s.budget = retry.NewBudget(retry.Options{
		Settings: p.settings.Retry, Registry: p.registry,
		Saturated: func() bool { return p.admitter.CallsWait() && !s.picker.Impaired() },
	})
	return s
}

func (p *Process) newGenerations(s *shared, resumeKey []byte) (err error) {
	p.generations, err = generation.New(generation.Options{
		Holder: p.holder, Pool: p.pool, Picker: s.picker, Admitter: p.admitter, Chooser: s.chooser,
		Budget: s.budget, Recorder: s.guard, TokenKey: resumeKey, RouterID: p.settings.ID,
		AvailabilityZone: string(p.settings.AvailabilityZone),
		Logger:           p.log, Metrics: p.registry, Settings: p.settings.Generation,
	})
	return errors.Trace(err)
}

func (p *Process) newCalls(s *shared) {
	p.ledger = call.NewLedgerClient(p.control, call.BatchSettings{})
	p.calls = call.New(call.Options{
		Holder: p.holder, Pool: p.pool, Picker: s.picker, Admitter: p.admitter, Chooser: s.chooser,
		Budget: s.budget, Recorder: s.guard, Ledger: p.ledger,
		RouterID: p.settings.ID, Incarnation: p.incarnation,
		AvailabilityZone: string(p.settings.AvailabilityZone),
		Logger:           p.log, Settings: p.settings.Calls.settings(),
	})
}
