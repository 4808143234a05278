// Package state implements the replicated state machine of the control VMs: the
// configuration, moves, the call ledger, results of confirms, the order lease and the
// latest declaration. Applying the same log entries yields the same state on every
// control VM: time and randomness come from the log entry.
package state

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// Limits on the records that are kept in addition to the configuration.
const (
	maxHistory    = 10_000
	maxEndedMoves = 1_000
	// resultRetention is how long a resent confirm gets its recorded result.
	resultRetention = 24 * time.Hour
)

// Result is the outcome of applying one log entry, which its proposer receives.
type Result struct {
	Confirm *chicoryv1.ConfirmResponse
	Claims  []*chicoryv1.ClaimResult
	Closed  []chicoryv1.ClaimState
	// MoveStepApplied reports whether a move step was applied.
	MoveStepApplied bool
	// Fencing is the fencing number that a lease entry granted; 0 if it was refused.
	Fencing uint64
	// Err is a *fault.Error, or nil.
	Err error
}

// Machine is the replicated state machine. Apply is called from one goroutine; the read
// methods are safe for concurrent use.
type Machine struct {
	settings ledger.Settings

	mu                sync.RWMutex             // guards the fields below
	view              *config.View             // configuration in force, with complete moves
	routerConfig      *chicoryv1.Configuration // the same configuration in the form sent to routers
	itemRevisions     map[plan.Item]uint64     // revision that last changed each item
	endedMoves        []*chicoryv1.Move        // oldest first
	results           map[string]*chicoryv1.ResultRecord
	history           []*chicoryv1.HistoryEntry // oldest first
	callLedger        *ledger.Ledger
	latestEntryUnixMs int64 // latest time of any applied entry
	fencing           uint64
	leaseHolder       string
	leaseDurationMs   uint32
	// leaseAppliedAt is when this VM applied the latest renewal of the lease. It is the
	// only field that differs between replicas.
	leaseAppliedAt time.Time
	// declaration is the latest committed declaration, nil before the first.
	declaration *chicoryv1.Declaration
	changed     chan struct{} // closed at the next revision or declaration
}

// New returns an empty state machine.
func New(s ledger.Settings) *Machine {
	return &Machine{
		settings:      s,
		view:          config.NewView(&chicoryv1.Configuration{}),
		routerConfig:  &chicoryv1.Configuration{},
		itemRevisions: map[plan.Item]uint64{},
		results:       map[string]*chicoryv1.ResultRecord{},
		callLedger:    ledger.New(s),
		changed:       make(chan struct{}),
	}
}

// Apply implements consensus.StateMachine. The result is a Result.
func (m *Machine) Apply(index uint64, command []byte) any {
	cmd := &chicoryv1.Command{}
	if err := proto.Unmarshal(command, cmd); err != nil {
		return Result{Err: fault.New(fault.Internal, "entry %d is damaged: %v", index, err)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestEntryUnixMs = max(m.latestEntryUnixMs, cmd.GetUnixMs())
	now := time.UnixMilli(m.latestEntryUnixMs)
	switch c := cmd.GetCommand().(type) {
	case *chicoryv1.Command_Confirm:
		return m.applyConfirm(c.Confirm, index, now)
	case *chicoryv1.Command_Claim:
		return m.applyClaims(c.Claim, now)
	case *chicoryv1.Command_Close:
		return m.applyCloses(c.Close, now)
	case *chicoryv1.Command_MoveStep:
		return m.applyMoveStep(c.MoveStep)
	case *chicoryv1.Command_Expire:
		m.expireRecords(now)
	case *chicoryv1.Command_Lease:
		return m.applyLease(c.Lease)
	case *chicoryv1.Command_Found:
		m.applyFound(c.Found, now)
	case *chicoryv1.Command_RouterLost:
		m.callLedger.RouterLost(c.RouterLost.GetRouterId(), c.RouterLost.GetIncarnation(), now)
	case *chicoryv1.Command_Declare:
		m.applyDeclaration(c.Declare)
	}
	return Result{}
}

// applyDeclaration replaces the declaration if d has a higher version. A different
// document with the current version changes nothing.
func (m *Machine) applyDeclaration(d *chicoryv1.Declaration) {
	if m.declaration != nil && d.GetVersion() <= m.declaration.GetVersion() {
		return
	}
	m.declaration = d
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) applyClaims(req *chicoryv1.ClaimRequest, now time.Time) Result {
	var r Result
	for _, c := range req.GetClaims() {
		r.Claims = append(r.Claims, m.callLedger.Claim(c, now))
	}
	return r
}

func (m *Machine) applyCloses(req *chicoryv1.CloseRequest, now time.Time) Result {
	var r Result
	for _, c := range req.GetClaims() {
		r.Closed = append(r.Closed, m.callLedger.Close(c, now))
	}
	return r
}

// applyFound sets the cluster's ID and publishes its first revision; it does so only
// once. A cluster that was bootstrapped again after all disks were lost has no record
// of earlier calls, so earlier keys are rejected as too old.
func (m *Machine) applyFound(f *chicoryv1.FoundCommand, now time.Time) {
	if m.view.Raw().GetClusterId() != "" {
		return
	}
	m.callLedger.SetInitialFloor(now)
	m.publish(m.view.WithRevision(0, f.GetClusterId()), nil)
}

// publish puts next in force under a new revision and assigns that revision to the
// changed items. The caller holds mu.
func (m *Machine) publish(next *config.View, changedItems []plan.Item) {
	cluster := next.Raw().GetClusterId()
	if cluster == "" {
		cluster = m.view.Raw().GetClusterId()
	}
	m.view = next.WithRevision(m.view.Revision()+1, cluster)
	m.routerConfig = routerConfiguration(m.view.Raw())
	for _, item := range changedItems {
		m.itemRevisions[item] = m.view.Revision()
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// routerConfiguration returns c with its moves reduced to the fields that routers need.
// The evidence sums and the policy's state stay on the control VMs.
func routerConfiguration(c *chicoryv1.Configuration) *chicoryv1.Configuration {
	if len(c.GetMoves()) == 0 {
		return c
	}
	reduced := config.NewView(c).WithRevision(c.GetRevision(), c.GetClusterId()).Raw()
	reduced.Moves = nil
	for _, m := range c.GetMoves() {
		reduced.Moves = append(reduced.Moves, &chicoryv1.Move{
			Id:            m.GetId(),
			Intent:        m.GetIntent(),
			State:         m.GetState(),
			SharePermille: m.GetSharePermille(),
			Paused:        m.GetPaused(),
			Hastened:      m.GetHastened(),
		})
	}
	return reduced
}

// expireRecords removes claims and confirm results that are older than their retention,
// and marks claims in doubt that have been open too long.
func (m *Machine) expireRecords(now time.Time) {
	m.callLedger.Expire(now)
	oldest := now.Add(-resultRetention).UnixMilli()
	for id, r := range m.results {
		if r.GetUnixMs() < oldest {
			delete(m.results, id)
		}
	}
}

// applyLease renews the lease of its holder, or transfers it to another control VM that
// names the current fencing number. By naming it, that VM asserts that the lease has
// expired by its own clock. Wall-clock time is not used.
func (m *Machine) applyLease(l *chicoryv1.LeaseCommand) Result {
	if m.leaseHolder != l.GetHolder() && m.fencing != l.GetExpectedFencing() {
		return Result{Err: fault.New(fault.FencingRefused, "the order lease has number %d now", m.fencing)}
	}
	if m.leaseHolder != l.GetHolder() {
		m.fencing++
	}
	m.leaseHolder = l.GetHolder()
	m.leaseDurationMs = l.GetDurationMs()
	m.leaseAppliedAt = time.Now()
	return Result{Fencing: m.fencing}
}

// Lease is the order lease as known to this VM.
type Lease struct {
	Holder   string
	Fencing  uint64
	Duration time.Duration
	// AppliedAt is when this VM applied the latest renewal of the lease, by its own
	// clock, which is later than the renewal was proposed. It is not part of the
	// replicated state.
	AppliedAt time.Time
}

// Lease returns the current order lease.
func (m *Machine) Lease() Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Lease{
		Holder:    m.leaseHolder,
		Fencing:   m.fencing,
		Duration:  time.Duration(m.leaseDurationMs) * time.Millisecond,
		AppliedAt: m.leaseAppliedAt,
	}
}
