package ratelimit

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// Options configures a Table. All fields are required.
type Options struct {
	Logger   *logging.Logger
	Registry metrics.Registry
}

// Table holds the limits that an entry VM knows. It is safe for concurrent use.
type Table struct {
	opts Options

	mu      sync.Mutex // guards the fields below
	targets map[string]*targetState
}

// targetState is the state of the target at one address.
type targetState struct {
	limit
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	t := &Table{opts: opts, targets: map[string]*targetState{}}
	metrics.NewRegisteredFunctionalGauge("targets.limited", opts.Registry, t.limitedCount)
	return t
}

// Observe records what a response of a target names: a rate in requests per second, or 0 for no
// limit.
func (t *Table) Observe(target Target, rate float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := limit{instance: target.Instance, rate: validRate(rate), namedAt: now}
	if l.rate == 0 && t.targets[target.Address] == nil {
		return
	}
	t.update(target.Address, l, now)
}

// update replaces an earlier limit of the target at address. The caller holds mu.
func (t *Table) update(address string, l limit, now time.Time) {
	s := t.targets[address]
	if s == nil {
		s = &targetState{}
		t.targets[address] = s
	}
	if !l.isNewer(s.limit) {
		return
	}
	wasInForce, changed := s.isInForce(now), !l.isSame(s.limit)
	s.limit = l
	switch {
	case changed && l.isInForce(now):
		t.opts.Logger.Warn(logging.TargetLimited, logging.Fields{"target": address, "instance": l.instance, "rate": l.rate})
	case changed && wasInForce:
		t.opts.Logger.Info(logging.TargetLimitEnded, logging.Fields{"target": address, "instance": l.instance})
	}
}

// limitedCount returns the number of targets whose limits are in force.
func (t *Table) limitedCount() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, now := int64(0), time.Now()
	for _, s := range t.targets {
		if s.isInForce(now) {
			n++
		}
	}
	return n
}
