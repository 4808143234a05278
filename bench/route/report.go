package main

import (
	"fmt"
	"slices"
	"time"
)

// bar is one target of the measurement.
type bar struct {
	name     string
	measured float64
	target   float64
	// atLeast is true when measured must not be below target; otherwise it must
	// not be above.
	atLeast bool
}

// report collects the bars of a run.
type report struct {
	bars []bar
}

func (r *report) add(name string, measured, target float64, atLeast bool) {
	r.bars = append(r.bars, bar{name, measured, target, atLeast})
}

// print writes one line per bar.
func (r *report) print() {
	for _, b := range r.bars {
		sign, met := "<=", b.measured <= b.target
		if b.atLeast {
			sign, met = ">=", b.measured >= b.target
		}
		verdict := "missed"
		if met {
			verdict = "met"
		}
		fmt.Printf("bar %s measured=%.3f target=%s%.3f %s\n", b.name, b.measured, sign, b.target, verdict)
	}
}

// percentile returns the p-th part (0 to 1) of the latencies, which it sorts.
func percentile(latencies []time.Duration, p float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(p*float64(len(latencies)-1))]
}
