package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

var (
	start = time.Unix(1_000_000, 0)
	desk  = Target{Address: "10.0.0.1:80", Instance: "first"}
)

func newTestTable() *Table {
	return NewTable(Options{Logger: logging.Discard(), Registry: metrics.NewRegistry()})
}

func (t *Table) rateOf(address string) float64 {
	if s := t.targets[address]; s != nil {
		return s.rate
	}
	return 0
}

// A limit holds for as long as the target names it.
func TestLatestResponseDecides(t *testing.T) {
	tb := newTestTable()
	tb.Observe(desk, 0, start)
	assert.Equal(t, len(tb.targets), 0, "a target without a limit takes no memory")
	tb.Observe(desk, 2.7, start)
	assert.Equal(t, tb.rateOf(desk.Address), 2.7)
	tb.Observe(desk, 1.5, start.Add(time.Second))
	assert.Equal(t, tb.rateOf(desk.Address), 1.5)
	tb.Observe(desk, 4, start)
	assert.Equal(t, tb.rateOf(desk.Address), 1.5, "an earlier response")
	tb.Observe(desk, 0, start.Add(2*time.Second))
	assert.Equal(t, tb.rateOf(desk.Address), 0.0)
}

// A limit of 0 must not keep a target out of use for ever.
func TestRateIsNeverZero(t *testing.T) {
	tb := newTestTable()
	tb.Observe(desk, math.SmallestNonzeroFloat64, start)
	assert.Equal(t, tb.rateOf(desk.Address), minRate)
}
