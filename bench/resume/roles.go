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

// roles admit everything, allow every resume and place all first attempts at the
// first target, so that one loss hits them all.
type roles struct {
	holder *config.Holder
	// prefer orders the targets for a resume; nil means in turn.
	prefer []string

	mu   sync.Mutex // guards the fields below
	turn int
}

func (r *roles) Admit(context.Context, request.Work) (func(int), error) {
	return func(int) {}, nil
}

func (r *roles) Choose(route *chicoryv1.Route, _ string) string { return route.GetVersion() }

func (r *roles) OnRequest() {}

func (r *roles) Allow(request.RetryKind) (bool, time.Duration) { return true, 0 }

func (r *roles) Record(request.Observation) {}

func (r *roles) Pick(w request.Work, exclude []string) (request.Placement, error) {
	targets := r.holder.Current().Targets(w.Route.GetService())
	if len(exclude) == 0 {
		return placement(targets[0]), nil
	}
	for _, address := range r.prefer {
		if !slices.Contains(exclude, address) {
			return placement(r.holder.Current().Target(address)), nil
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for range targets {
		r.turn++
		if t := targets[r.turn%len(targets)]; !slices.Contains(exclude, t.GetAddress()) {
			return placement(t), nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target is left")
}

func placement(t *chicoryv1.Target) request.Placement {
	return request.Placement{Target: t, Done: func(request.Result, time.Duration) {}}
}
