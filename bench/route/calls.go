package main

import (
	"fmt"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// The transactional service under test. The requirements give its size.
const (
	callReplicas = 3
	callSlots    = 8
	callTime     = 20 * time.Millisecond
	callDeadline = 300 * time.Millisecond
	callRouters  = 2
	// callCapacity is in calls per second: 3 replicas with 8 slots, 20 ms per call.
	callCapacity = float64(callReplicas*callSlots) * float64(time.Second) / float64(callTime)
)

// warmUp is the time between the start of the routers and the first arrival.
const warmUp = 300 * time.Millisecond

// system is a routing implementation under test. routers starts its routers.
type system struct {
	name    string
	routers func(c *cluster) []router
}

// fullSystem returns the production routing with a mode of the concurrency limit.
func fullSystem(limit admission.LimitMode) system {
	return system{"full-" + string(limit), func(c *cluster) []router {
		var list []router
		for i := range callRouters {
			list = append(list, newFullRouter(c, i, callRouters, limit))
		}
		return list
	}}
}

// naiveSystem returns the baseline.
func naiveSystem() system {
	return system{"naive", func(c *cluster) []router {
		var list []router
		for range callRouters {
			list = append(list, newNaiveRouter(c))
		}
		return list
	}}
}

// scenario is one measurement with calls.
type scenario struct {
	name     string
	arrivals []arrival
	length   time.Duration
	// skewed sends all arrivals to the first router.
	skewed bool
	// injectFault injects faults after a quarter of the length; nil means none.
	injectFault func(c *cluster)
}

// scenarioResult is the result of a scenario.
type scenarioResult struct {
	byTeam map[string]*teamResult
	// attemptsPerRequest is the number of calls that reached targets per request, after
	// the fault was injected.
	attemptsPerRequest float64
}

// run runs the scenario with one system on new replicas.
func (s scenario) run(sys system, seed uint64) scenarioResult {
	opts := standin.Options{Capacity: callSlots, CallTime: callTime, Seed: seed}
	c := newCluster(callReplicas, opts, chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL)
	defer c.close()
	routers := sys.routers(c)
	time.Sleep(warmUp)
	callsAtFault := make(chan uint64, 1)
	time.AfterFunc(s.length/4, func() {
		if s.injectFault != nil {
			s.injectFault(c)
		}
		callsAtFault <- c.totals().calls
	})
	res := scenarioResult{byTeam: replay(routers, s.arrivals, s.skewed)}
	after := 0
	for _, a := range s.arrivals {
		if a.at >= s.length/4 {
			after++
		}
	}
	res.attemptsPerRequest = float64(c.totals().calls-<-callsAtFault) / float64(max(after, 1))
	s.print(sys, res)
	for _, r := range routers {
		r.close()
	}
	return res
}

// print prints one line per team.
func (s scenario) print(sys system, res scenarioResult) {
	var teams []string
	for team := range res.byTeam {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		o := res.byTeam[team]
		fmt.Printf("calls scenario=%s system=%s team=%s arrivals=%d goodput=%.0f/s p50=%s p99=%s refused=%d failed=%d refusal_p99=%s attempts_per_request=%.3f failures=%v\n",
			s.name, sys.name, team, o.arrivals, o.goodput(s.length),
			percentile(o.latencies, 0.5).Round(10*time.Microsecond), percentile(o.latencies, 0.99).Round(10*time.Microsecond),
			o.refused, o.failed, percentile(o.refusals, 0.99).Round(10*time.Microsecond), res.attemptsPerRequest, o.failures)
	}
}

// measureCalls runs all scenarios with calls.
func measureCalls(r *report, seed uint64, length time.Duration) {
	fmt.Printf("calls capacity=%.0f/s replicas=%d slots=%d call_time=%s deadline=%s routers=%d\n",
		callCapacity, callReplicas, callSlots, callTime, callDeadline, callRouters)
	measureOverload(r, seed, length)
	measureFaults(r, seed, length)
	measureFlood(r, seed, length)
	measureLeaving(r, seed, length)
}

// measureOverload compares the goodput under increasing load.
func measureOverload(r *report, seed uint64, length time.Duration) {
	goodput := map[float64]float64{}
	for _, load := range []float64{0.5, 1, 1.5, 2} {
		s := scenario{
			name:     fmt.Sprint("load-", load),
			arrivals: poissonArrivals(seed, smallTeam, load*callCapacity, length),
			length:   length,
		}
		res := s.run(fullSystem(admission.LimitShared), seed)
		goodput[load] = res.byTeam[smallTeam].goodput(length)
		s.run(naiveSystem(), seed)
		if load == 2 {
			s.run(fullSystem(admission.LimitStatic), seed)
			s.run(fullSystem(admission.LimitLearned), seed)
		}
	}
	r.add("goodput-2x-of-1x", goodput[2]/goodput[1], 0.9, true)
	skewed := scenario{
		name:     "skewed-0.8",
		arrivals: poissonArrivals(seed, smallTeam, 0.8*callCapacity, length),
		length:   length,
		skewed:   true,
	}
	skewed.run(fullSystem(admission.LimitShared), seed)
	skewed.run(fullSystem(admission.LimitStatic), seed)
}

// measureFaults compares how many requests are lost and how much load is added when
// targets are slow or fail.
func measureFaults(r *report, seed uint64, length time.Duration) {
	arrivals := poissonArrivals(seed, smallTeam, 0.5*callCapacity, length)
	faultCases := []struct {
		name        string
		injectFault func(c *cluster)
	}{
		{"one-slow", func(c *cluster) { c.replicas[1].SetFaults(&chicoryv1.Faults{SlowFactor: 10}) }},
		{"one-frozen", func(c *cluster) { c.replicas[1].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
		{"zone-gone", func(c *cluster) { freeze(c.inZone(1)) }},
		{"one-left", func(c *cluster) { freeze(c.inZone(1)); freeze(c.inZone(2)) }},
	}
	for _, f := range faultCases {
		s := scenario{name: f.name, arrivals: arrivals, length: length, injectFault: f.injectFault}
		if f.name == "one-left" {
			s.arrivals = poissonArrivals(seed, smallTeam, 0.25*callCapacity, length)
		}
		res := s.run(fullSystem(admission.LimitShared), seed)
		s.run(naiveSystem(), seed)
		o := res.byTeam[smallTeam]
		r.add("lookups-lost-"+f.name, float64(o.failed+o.refused), 0, false)
		if f.name == "zone-gone" {
			r.add("load-after-zone-loss-calls", res.attemptsPerRequest, 1.2, false)
		}
	}
}

// callPollInterval is how often the call counter of a leaving replica is read.
const callPollInterval = 20 * time.Millisecond

// measureLeaving measures how long a replica still gets new calls after it reports that it
// is leaving.
func measureLeaving(r *report, seed uint64, length time.Duration) {
	last := make(chan time.Duration, 1)
	s := scenario{
		name:     "one-leaving",
		arrivals: poissonArrivals(seed, smallTeam, 0.5*callCapacity, length),
		length:   length,
	}
	s.injectFault = func(c *cluster) {
		leaving := c.replicas[1]
		leaving.SetFaults(&chicoryv1.Faults{Leaving: true})
		go func() { last <- lastCallTime(leaving, length/2) }()
	}
	s.run(fullSystem(admission.LimitShared), seed)
	r.add("leaving-new-work-seconds", (<-last).Seconds(), 3, false)
}

// lastCallTime observes a replica for the given duration and returns how long after the
// start its last call arrived.
func lastCallTime(r *standin.Replica, duration time.Duration) time.Duration {
	start := time.Now()
	last := time.Duration(0)
	for calls := r.Counts("").GetCalls(); time.Since(start) < duration; time.Sleep(callPollInterval) {
		if now := r.Counts("").GetCalls(); now != calls {
			calls, last = now, time.Since(start)
		}
	}
	return last
}

// freeze makes replicas accept work and do nothing, which simulates a lost availability
// zone.
func freeze(replicas []*standin.Replica) {
	for _, r := range replicas {
		r.SetFaults(&chicoryv1.Faults{Freeze: true})
	}
}

// measureFlood compares the latency of a small team when it is alone and when another
// team overloads the service.
func measureFlood(r *report, seed uint64, length time.Duration) {
	length *= 2 // for enough samples of the small team's p99
	small := poissonArrivals(seed, smallTeam, 0.1*callCapacity, length)
	alone := scenario{name: "small-alone", arrivals: small, length: length}
	flooded := scenario{
		name:     "flood",
		arrivals: mergeArrivals(small, poissonArrivals(seed, largeTeam, 2*callCapacity, length)),
		length:   length,
	}
	for _, sys := range []system{fullSystem(admission.LimitShared), naiveSystem()} {
		a := alone.run(sys, seed).byTeam[smallTeam]
		f := flooded.run(sys, seed).byTeam[smallTeam]
		if sys.name == "naive" {
			continue
		}
		ratio := float64(percentile(f.latencies, 0.99)) / float64(percentile(a.latencies, 0.99))
		r.add("small-team-p99-under-flood", ratio, 1.5, false)
		r.add("small-team-lost-under-flood", float64(f.failed+f.refused), 0, false)
	}
}

// mergeArrivals merges two schedules, ordered by time.
func mergeArrivals(a, b []arrival) []arrival {
	list := slices.Concat(a, b)
	slices.SortStableFunc(list, func(x, y arrival) int { return int(x.at - y.at) })
	return list
}
