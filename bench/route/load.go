package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// arrival is one request of a schedule.
type arrival struct {
	at   time.Duration
	team string
}

// schedule draws arrivals of a team with exponential gaps, the same for the same seed.
func schedule(seed uint64, team string, perSecond float64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, uint64(len(team))))
	var list []arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / perSecond
		if at >= length.Seconds() {
			return list
		}
		list = append(list, arrival{time.Duration(at * float64(time.Second)), team})
	}
}

// outcome is what was seen of the requests of one schedule.
type outcome struct {
	arrivals int
	good     int
	// refused were refused as overload or by a limit; failed ended otherwise.
	refused, failed int
	// lateRefusals took longer than refusalBound to be refused.
	lateRefusals int
	latencies    []time.Duration
	refusals     []time.Duration
	failures     map[fault.Kind]int
}

// refusalBound is how soon a refused request should have its answer: well before
// the deadline of a call.
const refusalBound = callDeadline / 2

// goodput is the share of arrivals that were answered in time, per second.
func (o *outcome) goodput(length time.Duration) float64 {
	return float64(o.good) / length.Seconds()
}

// play sends the arrivals to the routers in turn, or all of them to the first one,
// and waits for all answers. It returns the outcome by team.
func play(routers []router, arrivals []arrival, skewed bool) map[string]*outcome {
	outcomes := map[string]*outcome{}
	var mu sync.Mutex // guards outcomes
	var tasks sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if outcomes[a.team] == nil {
			outcomes[a.team] = &outcome{failures: map[fault.Kind]int{}}
		}
		time.Sleep(a.at - time.Since(start))
		mu.Lock()
		outcomes[a.team].arrivals++
		mu.Unlock()
		to := routers[i%len(routers)]
		if skewed {
			to = routers[0]
		}
		tasks.Go(func() {
			latency, err := send(to, a)
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.team].add(latency, err)
		})
	}
	tasks.Wait()
	return outcomes
}

// send makes one call and returns its latency.
func send(r router, a arrival) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	start := time.Now()
	err := r.call(ctx, &chicoryv1.CallRequest{
		Team: a.team, Route: routeName, Method: "lookup", Payload: make([]byte, 512), Idempotent: true,
		TimeoutMs: uint32(callDeadline.Milliseconds()), Priority: chicoryv1.Priority_PRIORITY_NORMAL,
	})
	return time.Since(start), err
}

// add counts one answer.
func (o *outcome) add(latency time.Duration, err error) {
	switch {
	case err == nil && latency <= callDeadline:
		o.good++
		o.latencies = append(o.latencies, latency)
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.TeamLimit):
		o.refused++
		o.refusals = append(o.refusals, latency)
		if latency > refusalBound {
			o.lateRefusals++
		}
	case err == nil:
		o.failed++
		o.failures["late"]++
	default:
		o.failed++
		o.failures[fault.Of(err).Kind]++
	}
}
