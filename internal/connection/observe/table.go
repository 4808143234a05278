package observe

import (
	"net/netip"
	"sync"
	"sync/atomic"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Table has the states of all targets and the prefix hints. It is safe for
// concurrent use.
type Table struct {
	// Hints say which targets may have a prompt prefix cached.
	Hints *Hints

	settings Settings
	// forgotten counts the states that were dropped.
	forgotten atomic.Uint64

	mu     sync.Mutex // guards states and listed
	states map[string]*State
	// listed has the VMs that the platform's list has contained.
	listed map[string]bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		Hints:    NewHints(s.HintLifetime.Std()),
		settings: s,
		states:   map[string]*State{},
		listed:   map[string]bool{},
	}
}

// State returns the state of the target at address, a new one at first.
func (t *Table) State(address string) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	if !ok {
		s = &State{
			address:        address,
			reportLifetime: t.settings.ReportLifetime.Std(),
			silentAfter:    t.settings.SilentAfter.Std(),
		}
		t.states[address] = s
	}
	return s
}

// Forget drops the state of a target that left the configuration.
func (t *Table) Forget(address string) {
	t.mu.Lock()
	delete(t.states, address)
	t.mu.Unlock()
	t.forgotten.Add(1)
	t.Hints.DropTarget(address)
}

// Forgotten returns a number that grows when a state is dropped, so that those
// who keep states look them up again.
func (t *Table) Forgotten() uint64 {
	return t.forgotten.Load()
}

// ApplyPlatformList notes which targets the platform says are leaving: those in
// the state LEAVING and those that an earlier list had and this one lacks. An
// empty list is not believed.
func (t *Table) ApplyPlatformList(vms []*chicoryv1.PlatformVM) {
	if len(vms) == 0 {
		return
	}
	states := make(map[string]chicoryv1.VMState, len(vms))
	for _, vm := range vms {
		states[vm.GetAddress()] = vm.GetState()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, s := range t.states {
		s.SetPlatformLeaving(t.isLeaving(address, states))
	}
	for vm := range states {
		t.listed[vm] = true
	}
}

// isLeaving looks a target up by IP:port and by IP. The caller holds mu.
func (t *Table) isLeaving(address string, states map[string]chicoryv1.VMState) bool {
	for _, name := range []string{address, host(address)} {
		if state, ok := states[name]; ok {
			return state == chicoryv1.VMState_VM_STATE_LEAVING
		}
	}
	return t.listed[address] || t.listed[host(address)]
}

// host returns the IP of an IP:port.
func host(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return ap.Addr().String()
}
