package pace

import (
	"slices"
	"sync"
	"time"
)

// The hedge delay is the 95th percentile of the latest latencies of a route.
const (
	latencySamples  = 128
	hedgePercentile = 95
	minHedgeDelay   = 2 * time.Millisecond
	maxHedgeDelay   = time.Second
)

// LatencyTracker tracks the latency of idempotent calls per route.
type LatencyTracker struct {
	mu      sync.Mutex // guards byRoute and its values
	byRoute map[string]*routeLatency
}

// SamplesPerRefresh is the number of samples after which the hedge delay is recomputed.
const SamplesPerRefresh = 16

// DefaultHedgeDelay applies to a route without enough samples.
const DefaultHedgeDelay = 50 * time.Millisecond

// routeLatency is a ring buffer of the latest samples of a route and its hedge delay.
type routeLatency struct {
	samples [latencySamples]time.Duration
	count   int
	delay   time.Duration
}

// NewLatencyTracker returns an empty tracker.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{byRoute: map[string]*routeLatency{}}
}

// HedgeDelay returns the time without a response after which a second attempt is due.
func (l *LatencyTracker) HedgeDelay(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byRoute[route]; r != nil && r.delay > 0 {
		return r.delay
	}
	return DefaultHedgeDelay
}

// Observe records the latency of a successful attempt.
func (l *LatencyTracker) Observe(route string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRoute[route]
	if r == nil {
		r = &routeLatency{}
		l.byRoute[route] = r
	}
	r.samples[r.count%latencySamples] = latency
	r.count++
	if r.count%SamplesPerRefresh == 0 {
		r.updateDelay()
	}
}

func (r *routeLatency) updateDelay() {
	sorted := slices.Sorted(slices.Values(r.samples[:min(r.count, latencySamples)]))
	index := len(sorted) * hedgePercentile / 100
	r.delay = min(max(sorted[index], minHedgeDelay), maxHedgeDelay)
}
