package routing

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// RoundRobin picks the targets of a service version in turn, regardless of their load
// and health. It is the baseline for tests and benchmarks.
type RoundRobin struct {
	holder *config.Holder
	next   atomic.Uint64
}

// NewRoundRobin returns a RoundRobin over the targets of h's configuration.
func NewRoundRobin(h *config.Holder) *RoundRobin {
	return &RoundRobin{holder: h}
}

// Pick implements request.Picker.
func (p *RoundRobin) Pick(w request.Work, exclude []string) (request.Placement, error) {
	targets := p.holder.Current().Targets(w.Route.GetService())
	for range targets {
		t := targets[p.next.Add(1)%uint64(len(targets))]
		if t.GetVersion() != w.Version || slices.Contains(exclude, t.GetAddress()) {
			continue
		}
		return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}, nil
	}
	return request.Placement{}, fault.New(fault.NoTarget, "service %s has no target of version %s",
		w.Route.GetService(), w.Version)
}
