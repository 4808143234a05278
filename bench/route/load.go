package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// arrival is one request of a schedule. at is the time since the start of the schedule.
type arrival struct {
	at   time.Duration
	team string
}

// poissonArrivals returns the arrivals of a team as a Poisson process with the given rate.
// The same seed gives the same arrivals.
func poissonArrivals(seed uint64, team string, perSecond float64, length time.Duration) []arrival {
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

// teamResult counts the results of the requests of one team.
type teamResult struct {
	arrivals int
	good     int
	// refused counts requests that were refused because of overload or a team limit,
	// failed those that failed for another reason or succeeded after the deadline.
	refused, failed int
	// lateRefusals counts refusals that took longer than maxRefusalLatency.
	lateRefusals int
	latencies    []time.Duration
	refusals     []time.Duration
	failures     map[fault.Kind]int
}

// maxRefusalLatency is the time within which a request should be refused: well before the
// deadline of a call.
const maxRefusalLatency = callDeadline / 2

// goodput is the number of requests per second that succeeded before their deadline.
func (o *teamResult) goodput(length time.Duration) float64 {
	return float64(o.good) / length.Seconds()
}

// replay sends the arrivals to the routers in turn, or all to the first one if toFirst is
// set, and waits for all responses. It returns the results by team.
func replay(routers []router, arrivals []arrival, toFirst bool) map[string]*teamResult {
	results := map[string]*teamResult{}
	var mu sync.Mutex // guards results
	var tasks sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if results[a.team] == nil {
			results[a.team] = &teamResult{failures: map[fault.Kind]int{}}
		}
		time.Sleep(a.at - time.Since(start))
		mu.Lock()
		results[a.team].arrivals++
		mu.Unlock()
		r := routers[i%len(routers)]
		if toFirst {
			r = routers[0]
		}
		tasks.Go(func() {
			latency, err := sendCall(r, a)
			mu.Lock()
			defer mu.Unlock()
			results[a.team].add(latency, err)
		})
	}
	tasks.Wait()
	return results
}

// sendCall sends one call and returns its latency.
func sendCall(r router, a arrival) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	start := time.Now()
	err := r.call(ctx, &chicoryv1.CallRequest{
		Team: a.team, Route: routeName, Method: "lookup", Payload: make([]byte, 512), Idempotent: true,
		TimeoutMs: uint32(callDeadline.Milliseconds()), Priority: chicoryv1.Priority_PRIORITY_NORMAL,
	})
	return time.Since(start), err
}

// add counts one response.
func (o *teamResult) add(latency time.Duration, err error) {
	switch {
	case err == nil && latency <= callDeadline:
		o.good++
		o.latencies = append(o.latencies, latency)
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.TeamLimit):
		o.refused++
		o.refusals = append(o.refusals, latency)
		if latency > maxRefusalLatency {
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
