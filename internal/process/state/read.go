package state

import (
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// Configuration returns the configuration in force in the form sent to routers, which
// must not be modified, and a channel that is closed at the next revision or
// declaration.
func (m *Machine) Configuration() (*chicoryv1.Configuration, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routerConfig, m.changed
}

// Declaration returns the latest declaration, which must not be modified and is nil
// before the first, and a channel that is closed at the next revision or declaration.
func (m *Machine) Declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.declaration, m.changed
}

// View returns the indexed configuration in force, with complete moves.
func (m *Machine) View() *config.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Plan computes the plan for changes to the current state.
func (m *Machine) Plan(operator string, changes []*chicoryv1.Change, now time.Time) (*chicoryv1.Plan, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out, err := plan.Apply(plan.Input{Base: m.view, Now: now, MoveID: "planned", Operator: operator}, changes)
	if err != nil {
		return nil, err
	}
	p := &chicoryv1.Plan{
		BaseRevision: m.view.Revision(),
		Changes:      changes,
		Effects:      out.Effects,
		Warnings:     out.Warnings,
	}
	seen := map[plan.Item]bool{}
	for _, item := range out.Reads {
		if !seen[item] {
			seen[item] = true
			p.Reads = append(p.Reads, &chicoryv1.Read{Item: string(item), Revision: m.itemRevisions[item]})
		}
	}
	return p, nil
}

// Moves returns the open moves followed by the ended ones, of which the latest is
// first.
func (m *Machine) Moves() []*chicoryv1.Move {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := slices.Clone(m.endedMoves)
	slices.Reverse(all)
	return append(slices.Clone(m.view.Raw().GetMoves()), all...)
}

// History returns up to limit entries, newest first.
func (m *Machine) History(limit int) []*chicoryv1.HistoryEntry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	from := max(len(m.history)-limit, 0)
	newest := slices.Clone(m.history[from:])
	slices.Reverse(newest)
	return newest
}

// Claims returns the number of ledger entries and the claims in doubt.
func (m *Machine) Claims() (int, []*chicoryv1.Claim) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.callLedger.Len(), m.callLedger.InDoubt()
}

// RoutersWithOpenClaims returns the router incarnations that hold open claims.
func (m *Machine) RoutersWithOpenClaims() []ledger.RouterIncarnation {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.callLedger.RoutersWithOpenClaims()
}
