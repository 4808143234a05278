package observe

import (
	"net/netip"
	"sync"
	"sync/atomic"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Table holds the observed states of all targets and the prefix hints. It is safe for
// concurrent use.
type Table struct {
	// Hints records which targets may have a prompt prefix cached.
	Hints *Hints

	settings Settings
	// removals counts the states that were removed.
	removals atomic.Uint64

	mu     sync.Mutex        // guards states and seenInList
	states map[string]*State // by IP:port
	// seenInList contains every VM that has ever been in the platform's list.
	seenInList map[string]bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		Hints:      NewHints(s.HintLifetime.Std()),
		settings:   s,
		states:     map[string]*State{},
		seenInList: map[string]bool{},
	}
}

// State returns the state of the target at address (IP:port) and creates it if needed.
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

// Remove deletes the state and the hints of a target that was removed from the
// configuration.
func (t *Table) Remove(address string) {
	t.mu.Lock()
	delete(t.states, address)
	t.mu.Unlock()
	t.removals.Add(1)
	t.Hints.RemoveTarget(address)
}

// Removals returns the number of states removed so far. Callers that keep pointers to
// states look them up again when it grows.
func (t *Table) Removals() uint64 {
	return t.removals.Load()
}

// ApplyPlatformList updates which targets are leaving according to the platform: those
// in the state LEAVING and those that are missing from the list but were in an earlier
// one. An empty list is ignored.
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
		t.seenInList[vm] = true
	}
}

// isLeaving looks up a target by IP:port, then by IP. The caller holds mu.
func (t *Table) isLeaving(address string, states map[string]chicoryv1.VMState) bool {
	for _, name := range []string{address, host(address)} {
		if state, ok := states[name]; ok {
			return state == chicoryv1.VMState_VM_STATE_LEAVING
		}
	}
	return t.seenInList[address] || t.seenInList[host(address)]
}

// host returns the IP address in address, or address itself if it is not an IP:port.
func host(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return ap.Addr().String()
}
