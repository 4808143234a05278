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

// startTimeout bounds the time until the system first serves requests.
const startTimeout = 30 * time.Second

// seedRun is the test run of one seed.
type seedRun struct {
	options options
	rand    *rand.Rand
	// limitRand draws the limits that targets name, and the deadly calls.
	limitRand *rand.Rand
	// cutRand draws the cuts of entry VMs from targets.
	cutRand *rand.Rand
	// restartRand draws the planned restarts of targets, and their late copies of answers.
	restartRand *rand.Rand
	// stateRand draws what targets state in their responses.
	stateRand *rand.Rand
	// malformRand draws the targets that malform their answers.
	malformRand *rand.Rand
	// upgradeRand draws the replacement of the programs by those of another build.
	upgradeRand *rand.Rand
	deadly      *deadlyCalls
	history     *history
	testbed     *testbed
	load        *loadGenerator
	operator    *operator
}

// runSeed runs one seed and returns the violated guarantees. It fails if the run could
// not be started.
func runSeed(ctx context.Context, o options, seed uint64) ([]string, error) {
	s := &seedRun{
		options: o, rand: newRand(seed), limitRand: newLimitRand(seed), cutRand: newCutRand(seed),
		restartRand: newRestartRand(seed), stateRand: newStateRand(seed), malformRand: newMalformRand(seed), upgradeRand: newUpgradeRand(seed),
	}
	s.history = newHistory(func(text string) { fmt.Printf("seed %d: %s\n", seed, text) })
	s.history.earlierBuilds = s.options.oldPrograms != ""
	var err error
	if s.testbed, err = newTestbed(o, seed, randomSize(s.rand), s.history); err != nil {
		return nil, err
	}
	defer s.testbed.close()
	for _, t := range s.testbed.targets {
		t.changeBehavior(resetTimings)
	}
	s.testbed.trackOwners()
	s.operator = newOperator(s.testbed, s.history)
	s.load = &loadGenerator{history: s.history, operator: s.operator}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	s.runWithFaults(ctx)
	s.awaitRecovery(ctx)
	if ctx.Err() == nil {
		s.history.checkAll()
		if s.deadly != nil {
			s.history.checkDeadly(s.deadly.Crashes(), s.deadly.Received())
		}
		s.stopAll()
		s.checkFailuresLogged()
	}
	s.printSummary(seed)
	if len(s.history.violations) == 0 && ctx.Err() == nil {
		return nil, errors.Trace(os.RemoveAll(s.testbed.folder))
	}
	return s.history.violations, nil
}

// start starts the programs, declares the first configuration and waits until all
// entry VMs serve.
func (s *seedRun) start(ctx context.Context) error {
	if err := s.testbed.startPrograms(); err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < startTimeout && ctx.Err() == nil; {
		if s.history.newestConfirmed() == nil {
			s.operator.declareNew(ctx, s.rand, 1)
		} else if s.probeEntries() == "" {
			return s.testbed.disableBootstrap()
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil
	}
	return errors.Errorf("the system served no requests within %v; its logs are in %s", startTimeout, s.testbed.folder)
}

// probeEntries sends one request of each kind to each entry VM and describes the first
// one that is not served. It returns "" if all are.
func (s *seedRun) probeEntries() string {
	for _, e := range s.testbed.entries {
		c := s.load.newCaller(e, s.rand)
		for _, kind := range []string{kindIdempotent, kindNonIdempotent, kindStream} {
			if r := c.send(requestSpec{kind: kind, path: "/" + kind + "/x", timeout: callTimeout}); !r.served() {
				return fmt.Sprintf("%s at %s: status %d, %v", r.id, e.id, r.status, r.err)
			}
		}
		c.client.CloseIdleConnections()
	}
	return ""
}

// runWithFaults runs callers, operators and fault injection for the time of the
// options.
func (s *seedRun) runWithFaults(ctx context.Context) {
	plan := newPlan(s.rand, s.options.faultPhase, len(s.testbed.keepers), len(s.testbed.entries), len(s.testbed.targets))
	plan = append(plan, newLimitFaults(s.limitRand, s.options.faultPhase, len(s.testbed.targets))...)
	plan = append(plan, newCutFaults(s.cutRand, s.options.faultPhase, len(s.testbed.keepers), len(s.testbed.entries))...)
	if s.options.oldPrograms == "" {
		plan = append(plan, newRestartFaults(s.restartRand, s.options.faultPhase, len(s.testbed.targets))...)
		plan = append(plan, newCopyFaults(s.restartRand, s.options.faultPhase, len(s.testbed.targets))...)
		plan = append(plan, newStateFaults(s.stateRand, s.options.faultPhase, len(s.testbed.targets))...)
		plan = append(plan, newMalformFaults(s.malformRand, s.options.faultPhase, len(s.testbed.targets))...)
	} else {
		// Older builds don't handle what targets say of themselves, nor malformed answers.
		plan = append(plan, newUpgrade(s.upgradeRand, s.options.faultPhase, len(s.testbed.keepers), len(s.testbed.entries), s.options.programs, s.options.oldPrograms)...)
	}
	s.deadly = newDeadlyCalls(s.limitRand, s.testbed.fleet, s.options.faultPhase)
	workCtx, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	run := func(work func(ctx context.Context, r *rand.Rand)) {
		taskRand := newRand(s.rand.Uint64())
		tasks.Go(func() { work(workCtx, taskRand) })
	}
	run(s.operator.run)
	for _, e := range s.testbed.entries {
		for range callersPerEntry {
			run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).makeCalls(ctx) })
		}
		for range streamsPerEntry {
			run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).makeStreams(ctx) })
		}
		run(func(ctx context.Context, r *rand.Rand) { s.load.newCaller(e, r).requestMarkers(ctx) })
		if s.deadly != nil {
			caller := s.load.newCaller(e, newRand(s.limitRand.Uint64()))
			tasks.Go(func() { s.deadly.send(workCtx, caller) })
		}
	}
	pause.For(ctx, settleTime) // a baseline without faults
	s.testbed.injectFaults(ctx, plan)
	pause.For(ctx, settleTime)
	stop()
	tasks.Wait()
}

// awaitRecovery waits until every entry VM serves again, and reads the configuration
// back from every control VM.
func (s *seedRun) awaitRecovery(ctx context.Context) {
	begin := time.Now()
	failure := s.probeEntries()
	for failure != "" && time.Since(begin) < recoveryTimeout && ctx.Err() == nil {
		pause.For(ctx, 100*time.Millisecond)
		failure = s.probeEntries()
	}
	if failure != "" && ctx.Err() == nil {
		s.history.addViolation("requests still fail %v after the last fault: %s", recoveryTimeout, failure)
	}
	for _, k := range s.testbed.keepers {
		err := s.operator.readConfig(ctx, k)
		for err != nil && time.Since(begin) < recoveryTimeout && ctx.Err() == nil {
			pause.For(ctx, 100*time.Millisecond)
			err = s.operator.readConfig(ctx, k)
		}
		if err != nil && ctx.Err() == nil {
			s.history.addViolation("%v after the last fault the configuration cannot be read from %s: %v", recoveryTimeout, k.id, err)
		}
	}
}

// stopAll stops all programs with SIGTERM and waits for them.
func (s *seedRun) stopAll() {
	var stops sync.WaitGroup
	for _, m := range s.testbed.vms() {
		stops.Go(func() { m.stop() })
	}
	stops.Wait()
}

// printSummary prints the size of the run and its results.
func (s *seedRun) printSummary(seed uint64) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	served, resumed := 0, 0
	for _, r := range h.requests {
		if r.served() {
			served++
		}
		if kindOf(r.id) == kindStream && len(h.runs[r.id]) > 1 {
			resumed++
		}
	}
	fmt.Printf("seed %d: %d keepers, %d entries, %d targets; %d requests, %d served, %d streams on several targets; %d configurations; %d faults; %d violations\n",
		seed, len(s.testbed.keepers), len(s.testbed.entries), len(s.testbed.targets), len(h.requests), served, resumed, len(h.declarations), len(h.faults), len(h.violations))
}
