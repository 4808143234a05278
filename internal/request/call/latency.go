package call

import (
	"slices"
	"sync"
	"time"
)

// The hedge delay is the 95th percentile of the latest latencies of a route.
const (
	latencySamples  = 128
	latencyPercent  = 95
	latencyRefresh  = 16 // samples between two computations
	firstHedgeDelay = 50 * time.Millisecond
	minHedgeDelay   = 2 * time.Millisecond
	maxHedgeDelay   = time.Second
)

// latencies learns the latency of idempotent calls by route.
type latencies struct {
	mu      sync.Mutex // guards byRoute and what it holds
	byRoute map[string]*routeLatency
}

// routeLatency is a ring of the latest samples.
type routeLatency struct {
	ring  [latencySamples]time.Duration
	count int
	delay time.Duration
}

func newLatencies() *latencies {
	return &latencies{byRoute: map[string]*routeLatency{}}
}

// hedgeDelay returns the time after which an attempt is late.
func (l *latencies) hedgeDelay(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byRoute[route]; r != nil && r.delay > 0 {
		return r.delay
	}
	return firstHedgeDelay
}

// observe adds the latency of an answered attempt.
func (l *latencies) observe(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil {
		r = &routeLatency{}
		l.byRoute[route] = r
	}
	r.ring[r.count%latencySamples] = latency
	r.count++
	if r.count%latencyRefresh == 0 {
		r.refresh()
	}
}

func (r *routeLatency) refresh() {
	sorted := slices.Sorted(slices.Values(r.ring[:min(r.count, latencySamples)]))
	at := len(sorted) * latencyPercent / 100
	r.delay = min(max(sorted[at], minHedgeDelay), maxHedgeDelay)
}
