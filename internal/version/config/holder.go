package config

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Holder holds the current view and replaces it atomically. The revision only increases.
type Holder struct {
	view atomic.Pointer[View]

	mu      sync.Mutex    // serializes swaps and guards changed
	changed chan struct{} // closed at the next swap; nil if nobody waits for it
}

// Configuration returns the current configuration, or nil if there is none yet, and a
// channel that is closed when it is replaced.
func (h *Holder) Configuration() (*chicoryv1.Configuration, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	if v := h.view.Load(); v != nil {
		return v.raw, h.changed
	}
	return nil, h.changed
}

// swap makes c the current configuration. The caller holds mu.
func (h *Holder) swap(c *chicoryv1.Configuration) {
	h.view.Store(NewView(c))
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Current returns the current view, or nil if there is none yet.
func (h *Holder) Current() *View {
	return h.view.Load()
}

// ApplyFull makes c the current configuration if its revision is later than the current
// one, and reports whether it did. A configuration of another cluster is rejected with
// the kind PlanRejected.
func (h *Holder) ApplyFull(c *chicoryv1.Configuration) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.view.Load()
	if err := checkCluster(old, c); err != nil {
		return false, err
	}
	if old != nil && c.GetRevision() <= old.Revision() {
		return false, nil
	}
	h.swap(c)
	return true, nil
}

// checkCluster returns an error if c belongs to another cluster than the current view.
func checkCluster(old *View, c *chicoryv1.Configuration) error {
	if old == nil || old.raw.GetClusterId() == c.GetClusterId() {
		return nil
	}
	return fault.New(fault.PlanRejected, "configuration is of cluster %s, not %s",
		c.GetClusterId(), old.raw.GetClusterId())
}

// ApplyDelta applies d to the current configuration if it leads to a later revision, and
// reports whether it did. It fails with the kind PlanStale if the base of d is another
// revision; the caller then requests the full configuration. A delta of another cluster
// is rejected with the kind PlanRejected.
func (h *Holder) ApplyDelta(d *chicoryv1.ConfigurationDelta) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.view.Load()
	if old == nil || old.Revision() != d.GetBaseRevision() {
		return false, fault.New(fault.PlanStale, "delta starts at revision %d", d.GetBaseRevision())
	}
	if err := checkCluster(old, d.GetChanged()); err != nil {
		return false, err
	}
	if d.GetChanged().GetRevision() <= old.Revision() {
		return false, nil
	}
	h.swap(Patch(old.raw, d))
	return true, nil
}

// Patch returns base with d applied. It does not modify base.
func Patch(base *chicoryv1.Configuration, d *chicoryv1.ConfigurationDelta) *chicoryv1.Configuration {
	ch := d.GetChanged()
	return &chicoryv1.Configuration{
		Revision:  ch.GetRevision(),
		ClusterId: base.GetClusterId(),
		Services:  patchList(base.GetServices(), ch.GetServices(), d.GetRemovedServices(), (*chicoryv1.Service).GetName),
		Routes:    patchList(base.GetRoutes(), ch.GetRoutes(), d.GetRemovedRoutes(), (*chicoryv1.Route).GetName),
		Targets:   patchList(base.GetTargets(), ch.GetTargets(), d.GetRemovedTargets(), (*chicoryv1.Target).GetAddress),
		Teams:     patchList(base.GetTeams(), ch.GetTeams(), d.GetRemovedTeams(), (*chicoryv1.Team).GetName),
		Moves:     patchList(base.GetMoves(), ch.GetMoves(), d.GetRemovedMoves(), (*chicoryv1.Move).GetId),
	}
}

// patchList replaces changed items in place, omits removed ones and appends new ones in
// the order of changed.
func patchList[T any](base, changed []T, removed []string, name func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return base
	}
	gone := make(map[string]bool, len(removed))
	for _, n := range removed {
		gone[n] = true
	}
	replaced := make(map[string]T, len(changed))
	for _, c := range changed {
		replaced[name(c)] = c
	}
	out := make([]T, 0, len(base)+len(changed))
	for _, b := range base {
		if c, ok := replaced[name(b)]; ok {
			out = append(out, c)
			delete(replaced, name(b))
		} else if !gone[name(b)] {
			out = append(out, b)
		}
	}
	for _, c := range changed {
		if _, ok := replaced[name(c)]; ok {
			out = append(out, c)
		}
	}
	return out
}

// Diff returns the delta from base to next.
func Diff(base, next *chicoryv1.Configuration) *chicoryv1.ConfigurationDelta {
	d := &chicoryv1.ConfigurationDelta{
		BaseRevision: base.GetRevision(),
		Changed: &chicoryv1.Configuration{
			Revision:  next.GetRevision(),
			ClusterId: next.GetClusterId(),
		},
	}
	ch := d.Changed
	ch.Services, d.RemovedServices = diffList(base.GetServices(), next.GetServices(), (*chicoryv1.Service).GetName)
	ch.Routes, d.RemovedRoutes = diffList(base.GetRoutes(), next.GetRoutes(), (*chicoryv1.Route).GetName)
	ch.Targets, d.RemovedTargets = diffList(base.GetTargets(), next.GetTargets(), (*chicoryv1.Target).GetAddress)
	ch.Teams, d.RemovedTeams = diffList(base.GetTeams(), next.GetTeams(), (*chicoryv1.Team).GetName)
	ch.Moves, d.RemovedMoves = diffList(base.GetMoves(), next.GetMoves(), (*chicoryv1.Move).GetId)
	return d
}

// configurationItem constrains T to pointers to messages of a configuration.
type configurationItem interface {
	proto.Message
	comparable
}

// diffList returns the items of next that are new or changed, and the names of the items
// of base that are missing from next. Items shared by pointer are not compared.
func diffList[T configurationItem](base, next []T, name func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(base))
	for _, b := range base {
		before[name(b)] = b
	}
	for _, n := range next {
		b, ok := before[name(n)]
		delete(before, name(n))
		if ok && (b == n || proto.Equal(b, n)) {
			continue
		}
		changed = append(changed, n)
	}
	for _, b := range base {
		if _, ok := before[name(b)]; ok {
			removed = append(removed, name(b))
		}
	}
	return changed, removed
}
