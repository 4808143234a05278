package pace

import (
	"slices"
	"sync"
	"time"
)

// The hedge delay is the 95th percentile of the latest latencies of a route.
const (
	latencySamples = 128
	latencyPercent = 95
	minHedgeDelay  = 2 * time.Millisecond
	maxHedgeDelay  = time.Second
)

// Latencies learns the latency of idempotent calls by route.
type Latencies struct {
	mu      sync.Mutex // guards byRoute and what it holds
	byRoute map[string]*routeLatency
}

// LatencyRefresh is the number of samples between two computations of the delay.
const LatencyRefresh = 16

// FirstHedgeDelay is the delay of a route of which nothing is known yet.
const FirstHedgeDelay = 50 * time.Millisecond

// routeLatency is a ring of the latest samples.
type routeLatency struct {
	ring  [latencySamples]time.Duration
	count int
	delay time.Duration
}

// NewLatencies returns a table that has learned nothing.
func NewLatencies() *Latencies {
	return &Latencies{byRoute: map[string]*routeLatency{}}
}

// HedgeDelay returns the time after which an attempt is late.
func (l *Latencies) HedgeDelay(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byRoute[route]; r != nil && r.delay > 0 {
		return r.delay
	}
	return FirstHedgeDelay
}

// Observe adds the latency of an answered attempt.
func (l *Latencies) Observe(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil {
		r = &routeLatency{}
		l.byRoute[route] = r
	}
	r.ring[r.count%latencySamples] = latency
	r.count++
	if r.count%LatencyRefresh == 0 {
		r.refresh()
	}
}

func (r *routeLatency) refresh() {
	sorted := slices.Sorted(slices.Values(r.ring[:min(r.count, latencySamples)]))
	at := len(sorted) * latencyPercent / 100
	r.delay = min(max(sorted[at], minHedgeDelay), maxHedgeDelay)
}
