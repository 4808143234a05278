package main

import (
	"fmt"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/standin"
)

// The transactional service under measurement: the size of the letter.
const (
	callReplicas = 3
	callSlots    = 8
	callTime     = 20 * time.Millisecond
	callDeadline = 300 * time.Millisecond
	callRouters  = 2
	// callCapacity is calls a second: 3 replicas of 8 slots, 20 ms each.
	callCapacity = float64(callReplicas*callSlots) * float64(time.Second) / float64(callTime)
)

// warmUp is the time between the start of routers and the first arrival.
const warmUp = 300 * time.Millisecond

// system makes the routers of one kind.
type system struct {
	name    string
	routers func(c *cluster) []router
}

// full returns the product's routers with a way to find their limit.
func full(mode admission.LimitMode) system {
	return system{"full-" + string(mode), func(c *cluster) []router {
		var list []router
		for i := range callRouters {
			list = append(list, newFullRouter(c, i, callRouters, mode))
		}
		return list
	}}
}

// naive returns the baseline's routers.
func naive() system {
	return system{"naive", func(c *cluster) []router {
		var list []router
		for range callRouters {
			list = append(list, newNaiveRouter(c))
		}
		return list
	}}
}

// scenario is one measurement of calls.
type scenario struct {
	name     string
	arrivals []arrival
	length   time.Duration
	// skewed sends all arrivals to the first router.
	skewed bool
	// strike switches faults on when a quarter of the length has passed; nil means none.
	strike func(c *cluster)
}

// result is what a scenario showed.
type result struct {
	byTeam map[string]*outcome
	// attemptsPerRequest counts arrivals at targets per request, after the strike.
	attemptsPerRequest float64
}

// run plays one scenario against one system on fresh replicas.
func (s scenario) run(sys system, seed uint64) result {
	opts := standin.Options{Capacity: callSlots, CallTime: callTime, Seed: seed}
	c := newCluster(callReplicas, opts, chicoryv1.ServiceKind_SERVICE_KIND_TRANSACTIONAL)
	defer c.close()
	routers := sys.routers(c)
	time.Sleep(warmUp)
	struck := make(chan uint64, 1)
	time.AfterFunc(s.length/4, func() {
		if s.strike != nil {
			s.strike(c)
		}
		struck <- c.totals().calls
	})
	res := result{byTeam: play(routers, s.arrivals, s.skewed)}
	after := 0
	for _, a := range s.arrivals {
		if a.at >= s.length/4 {
			after++
		}
	}
	res.attemptsPerRequest = float64(c.totals().calls-<-struck) / float64(max(after, 1))
	s.print(sys, res)
	for _, r := range routers {
		r.close()
	}
	return res
}

// print writes one line per team.
func (s scenario) print(sys system, res result) {
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

// measureCalls runs the scenarios of calls.
func measureCalls(r *report, seed uint64, length time.Duration) {
	fmt.Printf("calls capacity=%.0f/s replicas=%d slots=%d call_time=%s deadline=%s routers=%d\n",
		callCapacity, callReplicas, callSlots, callTime, callDeadline, callRouters)
	measureOverload(r, seed, length)
	measureFaults(r, seed, length)
	measureFlood(r, seed, length)
	measureLeaving(r, seed, length)
}

// measureOverload compares goodput at growing load.
func measureOverload(r *report, seed uint64, length time.Duration) {
	goodput := map[float64]float64{}
	for _, load := range []float64{0.5, 1, 1.5, 2} {
		s := scenario{
			name:     fmt.Sprint("load-", load),
			arrivals: schedule(seed, smallTeam, load*callCapacity, length),
			length:   length,
		}
		res := s.run(full(admission.LimitShared), seed)
		goodput[load] = res.byTeam[smallTeam].goodput(length)
		s.run(naive(), seed)
		if load == 2 {
			s.run(full(admission.LimitStatic), seed)
			s.run(full(admission.LimitLearned), seed)
		}
	}
	r.add("goodput-2x-of-1x", goodput[2]/goodput[1], 0.9, true)
	skewed := scenario{
		name:     "skewed-0.8",
		arrivals: schedule(seed, smallTeam, 0.8*callCapacity, length),
		length:   length,
		skewed:   true,
	}
	skewed.run(full(admission.LimitShared), seed)
	skewed.run(full(admission.LimitStatic), seed)
}

// measureFaults compares what is lost and how much load is added under faults.
func measureFaults(r *report, seed uint64, length time.Duration) {
	arrivals := schedule(seed, smallTeam, 0.5*callCapacity, length)
	faults := []struct {
		name   string
		strike func(c *cluster)
	}{
		{"one-slow", func(c *cluster) { c.replicas[1].SetFaults(&chicoryv1.Faults{SlowFactor: 10}) }},
		{"one-frozen", func(c *cluster) { c.replicas[1].SetFaults(&chicoryv1.Faults{Freeze: true}) }},
		{"zone-gone", func(c *cluster) { freeze(c.inZone(1)) }},
		{"one-left", func(c *cluster) { freeze(c.inZone(1)); freeze(c.inZone(2)) }},
	}
	for _, f := range faults {
		s := scenario{name: f.name, arrivals: arrivals, length: length, strike: f.strike}
		if f.name == "one-left" {
			s.arrivals = schedule(seed, smallTeam, 0.25*callCapacity, length)
		}
		res := s.run(full(admission.LimitShared), seed)
		s.run(naive(), seed)
		o := res.byTeam[smallTeam]
		r.add("lookups-lost-"+f.name, float64(o.failed+o.refused), 0, false)
		if f.name == "zone-gone" {
			r.add("load-after-zone-loss-calls", res.attemptsPerRequest, 1.2, false)
		}
	}
}

// leavingSample is the time between two looks at a leaving replica's arrivals.
const leavingSample = 20 * time.Millisecond

// measureLeaving finds how long a replica that says it is leaving gets new work.
func measureLeaving(r *report, seed uint64, length time.Duration) {
	last := make(chan time.Duration, 1)
	s := scenario{
		name:     "one-leaving",
		arrivals: schedule(seed, smallTeam, 0.5*callCapacity, length),
		length:   length,
	}
	s.strike = func(c *cluster) {
		leaving := c.replicas[1]
		leaving.SetFaults(&chicoryv1.Faults{Leaving: true})
		go func() { last <- lastArrival(leaving, length/2) }()
	}
	s.run(full(admission.LimitShared), seed)
	r.add("leaving-new-work-seconds", (<-last).Seconds(), 3, false)
}

// lastArrival returns how long after now the replica still got calls, as far as
// a time of watching shows.
func lastArrival(r *standin.Replica, watching time.Duration) time.Duration {
	start := time.Now()
	last := time.Duration(0)
	for calls := r.Counts("").GetCalls(); time.Since(start) < watching; time.Sleep(leavingSample) {
		if now := r.Counts("").GetCalls(); now != calls {
			calls, last = now, time.Since(start)
		}
	}
	return last
}

// freeze makes replicas accept work and do nothing, as a lost zone does.
func freeze(replicas []*standin.Replica) {
	for _, r := range replicas {
		r.SetFaults(&chicoryv1.Faults{Freeze: true})
	}
}

// measureFlood compares a small team's latency alone and under another's flood.
func measureFlood(r *report, seed uint64, length time.Duration) {
	length *= 2 // the small team's p99 needs samples
	small := schedule(seed, smallTeam, 0.1*callCapacity, length)
	alone := scenario{name: "small-alone", arrivals: small, length: length}
	flooded := scenario{
		name:     "flood",
		arrivals: merge(small, schedule(seed, largeTeam, 2*callCapacity, length)),
		length:   length,
	}
	for _, sys := range []system{full(admission.LimitShared), naive()} {
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

// merge puts two schedules into one by time.
func merge(a, b []arrival) []arrival {
	list := slices.Concat(a, b)
	slices.SortStableFunc(list, func(x, y arrival) int { return int(x.at - y.at) })
	return list
}
