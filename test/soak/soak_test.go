package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
)

// startTime is how long the system may take to serve for the first time.
const startTime = 30 * time.Second

// soak is the run of one seed.
type soak struct {
	options  options
	rand     *rand.Rand
	history  *history
	world    *world
	load     *load
	operator *operator
}

// runSeed runs one seed and returns the broken promises. It fails if the run could not
// be started.
func runSeed(ctx context.Context, o options, seed uint64) ([]string, error) {
	s := &soak{options: o, rand: newRand(seed)}
	s.history = newHistory(func(text string) { fmt.Printf("seed %d: %s\n", seed, text) })
	var err error
	if s.world, err = newWorld(o, seed, s.rand, s.history); err != nil {
		return nil, err
	}
	defer s.world.close()
	for _, t := range s.world.targets {
		t.change(setNormal)
	}
	s.operator = newOperator(s.world, s.history)
	s.load = &load{history: s.history, operator: s.operator}
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.trouble(ctx)
	s.recover(ctx)
	if ctx.Err() == nil {
		s.history.check()
		s.stopAll()
		s.checkLogs()
	}
	s.report(seed)
	if len(s.history.findings) == 0 && ctx.Err() == nil {
		return nil, errors.Trace(os.RemoveAll(s.world.folder))
	}
	return s.history.findings, nil
}

// begin starts the programs, declares the first configuration and waits until all
// entry VMs serve.
func (s *soak) begin(ctx context.Context) error {
	if err := s.world.boot(); err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < startTime && ctx.Err() == nil; {
		if s.history.confirmed() == nil {
			s.operator.change(ctx, s.rand, 1)
		} else if s.unserved() == "" {
			return s.world.founded()
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Errorf("the system does not serve within %v; its logs are in %s", startTime, s.world.folder)
}

// unserved tries each kind of request at each entry VM once and returns one that is not
// served, empty if all are.
func (s *soak) unserved() string {
	for _, e := range s.world.entries {
		c := s.load.newCaller(e, s.rand)
		for _, kind := range []string{kindLook, kindPay, kindDraft} {
			if r := c.send(ask{kind: kind, path: "/" + kind + "/x", wait: callWait}); !r.served() {
				return fmt.Sprintf("%s at %s: status %d, %v", r.id, e.id, r.status, r.err)
			}
		}
		c.client.CloseIdleConnections()
	}
	return ""
}

// trouble runs callers, operators and troubles for the time of the options.
func (s *soak) trouble(ctx context.Context) {
	plan := drawPlan(s.rand, s.options.troubleTime, len(s.world.keepers), len(s.world.entries), len(s.world.targets))
	working, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	run := func(work func(ctx context.Context, r *rand.Rand)) {
		own := newRand(s.rand.Uint64())
		tasks.Go(func() { work(working, own) })
	}
	run(s.operator.run)
	for _, e := range s.world.entries {
		for range callersPerEntry {
			run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).makeCalls(ctx) })
		}
		for range streamsPerEntry {
			run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).makeStreams(ctx) })
		}
		run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).askForMarks(ctx) })
	}
	pause.For(ctx, settleTime) // a calm start
	s.world.harm(ctx, plan)
	pause.For(ctx, settleTime)
	stop()
	tasks.Wait()
}

// recover waits until all is served again, and reads the configuration back.
func (s *soak) recover(ctx context.Context) {
	begin := time.Now()
	why := s.unserved()
	for why != "" && time.Since(begin) < recoverTime && ctx.Err() == nil {
		pause.For(ctx, 100*time.Millisecond)
		why = s.unserved()
	}
	if why != "" && ctx.Err() == nil {
		s.history.note("%v after the last trouble not all is served: %s", recoverTime, why)
	}
	for _, k := range s.world.keepers {
		err := s.operator.read(ctx, k)
		for err != nil && time.Since(begin) < recoverTime && ctx.Err() == nil {
			pause.For(ctx, 100*time.Millisecond)
			err = s.operator.read(ctx, k)
		}
		if err != nil && ctx.Err() == nil {
			s.history.note("%v after the last trouble %s does not tell the configuration: %v", recoverTime, k.id, err)
		}
	}
}

// stopAll stops all programs in order.
func (s *soak) stopAll() {
	var stops sync.WaitGroup
	for _, m := range s.world.machines() {
		stops.Go(func() { m.stop() })
	}
	stops.Wait()
}

// report prints what the run was made of.
func (s *soak) report(seed uint64) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	served, resumed := 0, 0
	for _, r := range h.requests {
		if r.served() {
			served++
		}
		if kindOf(r.id) == kindDraft && len(h.runs[r.id]) > 1 {
			resumed++
		}
	}
	fmt.Printf("seed %d: %d keepers, %d entries, %d targets; %d requests, %d served, %d streams on several targets; %d configurations; %d troubles; %d findings\n",
		seed, len(s.world.keepers), len(s.world.entries), len(s.world.targets), len(h.requests), served, resumed, len(h.declarations), len(h.troubles), len(h.findings))
}
