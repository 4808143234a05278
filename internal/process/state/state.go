// Package state is the state machine behind the replicated log: configuration,
// moves, the call ledger, results of confirms and the order lease. Applying the
// same entries gives the same state on every control VM: time and randomness
// come from the entry.
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

// Bounds of what is kept beside the configuration.
const (
	maxHistory    = 10_000
	maxEndedMoves = 1_000
	// resultRetention is how long a resent confirm gets its first result.
	resultRetention = 24 * time.Hour
)

// Result is what applying one entry returns to its proposer.
type Result struct {
	Confirm *chicoryv1.ConfirmResponse
	Claims  []*chicoryv1.ClaimResult
	Closed  []chicoryv1.ClaimState
	// Stepped reports whether a move step was taken.
	Stepped bool
	// Fencing is the number that a lease entry gave out; 0 when it was refused.
	Fencing uint64
	// Err is a *fault.Error, or nil.
	Err error
}

// Machine is the applied state. Apply is called by one task; the readers may be
// called from any.
type Machine struct {
	settings ledger.Settings

	mu      sync.RWMutex             // guards the fields below
	view    *config.View             // the configuration in force, with whole moves
	public  *chicoryv1.Configuration // the same as routers get it
	items   map[plan.Item]uint64     // revision that last changed the item
	ended   []*chicoryv1.Move        // the oldest first
	results map[string]*chicoryv1.ResultRecord
	history []*chicoryv1.HistoryEntry // the oldest first
	calls   *ledger.Ledger
	unixMs  int64 // largest entry time so far
	fencing uint64
	holder  string
	leaseMs uint32 // duration of the lease
	// leaseSeen is when the lease's newest renewal was applied here. It is the only
	// field that differs between replicas.
	leaseSeen time.Time
	// declaration is the newest one that was committed, nil before the first.
	declaration *chicoryv1.Declaration
	changed     chan struct{} // closed at the next revision or declaration
}

// New returns the empty state.
func New(s ledger.Settings) *Machine {
	return &Machine{
		settings: s,
		view:     config.NewView(&chicoryv1.Configuration{}),
		public:   &chicoryv1.Configuration{},
		items:    map[plan.Item]uint64{},
		results:  map[string]*chicoryv1.ResultRecord{},
		calls:    ledger.New(s),
		changed:  make(chan struct{}),
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
	m.unixMs = max(m.unixMs, cmd.GetUnixMs())
	now := time.UnixMilli(m.unixMs)
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
		m.expire(now)
	case *chicoryv1.Command_Lease:
		return m.applyLease(c.Lease)
	case *chicoryv1.Command_Found:
		m.applyFound(c.Found, now)
	case *chicoryv1.Command_RouterLost:
		m.calls.RouterLost(c.RouterLost.GetRouterId(), c.RouterLost.GetIncarnation(), now)
	case *chicoryv1.Command_Declare:
		m.applyDeclaration(c.Declare)
	}
	return Result{}
}

// applyDeclaration takes a declaration over if its version is higher than the one
// held. Another document under the version held changes nothing.
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
		r.Claims = append(r.Claims, m.calls.Claim(c, now))
	}
	return r
}

func (m *Machine) applyCloses(req *chicoryv1.CloseRequest, now time.Time) Result {
	var r Result
	for _, c := range req.GetClaims() {
		r.Closed = append(r.Closed, m.calls.Close(c, now))
	}
	return r
}

// applyFound names the cluster once, with its first revision. A cluster that was
// founded anew after all disks were lost knows of no earlier call, so earlier keys
// are too old.
func (m *Machine) applyFound(f *chicoryv1.FoundCommand, now time.Time) {
	if m.view.Raw().GetClusterId() != "" {
		return
	}
	m.calls.Found(now)
	m.swap(m.view.WithRevision(0, f.GetClusterId()), nil)
}

// swap puts next in force under a new revision. The caller holds mu.
func (m *Machine) swap(next *config.View, touched []plan.Item) {
	cluster := next.Raw().GetClusterId()
	if cluster == "" {
		cluster = m.view.Raw().GetClusterId()
	}
	m.view = next.WithRevision(m.view.Revision()+1, cluster)
	m.public = forRouters(m.view.Raw())
	for _, item := range touched {
		m.items[item] = m.view.Revision()
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// forRouters returns c with moves that carry only what routers need. The sums of
// evidence and the policy's numbers stay with the control VMs.
func forRouters(c *chicoryv1.Configuration) *chicoryv1.Configuration {
	if len(c.GetMoves()) == 0 {
		return c
	}
	public := config.NewView(c).WithRevision(c.GetRevision(), c.GetClusterId()).Raw()
	public.Moves = nil
	for _, m := range c.GetMoves() {
		public.Moves = append(public.Moves, &chicoryv1.Move{
			Id:            m.GetId(),
			Intent:        m.GetIntent(),
			State:         m.GetState(),
			SharePermille: m.GetSharePermille(),
			Paused:        m.GetPaused(),
			Hastened:      m.GetHastened(),
		})
	}
	return public
}

// expire drops what is older than its retention.
func (m *Machine) expire(now time.Time) {
	m.calls.Expire(now)
	oldest := now.Add(-resultRetention).UnixMilli()
	for id, r := range m.results {
		if r.GetUnixMs() < oldest {
			delete(m.results, id)
		}
	}
}

// applyLease renews the lease of its holder, or gives it to another control VM
// that names the present number: it says by that that the lease has run out by its
// own clock. Wall clocks play no part.
func (m *Machine) applyLease(l *chicoryv1.LeaseCommand) Result {
	if m.holder != l.GetHolder() && m.fencing != l.GetExpectedFencing() {
		return Result{Err: fault.New(fault.FencingRefused, "the order lease has number %d now", m.fencing)}
	}
	if m.holder != l.GetHolder() {
		m.fencing++
	}
	m.holder = l.GetHolder()
	m.leaseMs = l.GetDurationMs()
	m.leaseSeen = time.Now()
	return Result{Fencing: m.fencing}
}

// Lease is the order lease as this VM knows it.
type Lease struct {
	Holder   string
	Fencing  uint64
	Duration time.Duration
	// Seen is when this VM applied the lease's newest renewal. It is by this VM's
	// own clock, later than the renewal was proposed, and no part of the state.
	Seen time.Time
}

// Lease returns the order lease.
func (m *Machine) Lease() Lease {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Lease{
		Holder:   m.holder,
		Fencing:  m.fencing,
		Duration: time.Duration(m.leaseMs) * time.Millisecond,
		Seen:     m.leaseSeen,
	}
}
