package main

import (
	"context"
	"slices"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// stubPolicies replaces the admission, retry budget, version choice, target choice and
// recording of a router. It admits every request, allows every resume and places all
// first attempts on the first target, so that one failure affects all generations.
type stubPolicies struct {
	holder *config.Holder
	// resumeOrder lists the preferred targets for a resume, best first. If none of them
	// is left, targets are chosen round robin.
	resumeOrder []string

	mu   sync.Mutex // guards next
	next int
}

func (p *stubPolicies) Admit(context.Context, request.Work) (func(int), error) {
	return func(int) {}, nil
}

func (p *stubPolicies) Choose(route *chicoryv1.Route, _ string) string { return route.GetVersion() }

func (p *stubPolicies) OnRequest() {}

func (p *stubPolicies) Allow(request.RetryKind) (bool, time.Duration) { return true, 0 }

func (p *stubPolicies) Record(request.Observation) {}

func (p *stubPolicies) Pick(w request.Work, exclude []string) (request.Placement, error) {
	targets := p.holder.Current().Targets(w.Route.GetService())
	if len(exclude) == 0 {
		return newPlacement(targets[0]), nil
	}
	for _, address := range p.resumeOrder {
		if !slices.Contains(exclude, address) {
			return newPlacement(p.holder.Current().Target(address)), nil
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range targets {
		p.next++
		if t := targets[p.next%len(targets)]; !slices.Contains(exclude, t.GetAddress()) {
			return newPlacement(t), nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target is left")
}

func newPlacement(t *chicoryv1.Target) request.Placement {
	return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}
}
