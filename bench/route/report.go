package main

import (
	"fmt"
	"slices"
	"time"
)

// criterion is a measured value with the limit that it must meet.
type criterion struct {
	name     string
	measured float64
	limit    float64
	// atLeast is true if limit is a lower limit; otherwise it is an upper limit.
	atLeast bool
}

// report collects the criteria of a run.
type report struct {
	criteria []criterion
}

func (r *report) add(name string, measured, limit float64, atLeast bool) {
	r.criteria = append(r.criteria, criterion{name, measured, limit, atLeast})
}

// print prints one line per criterion.
func (r *report) print() {
	for _, c := range r.criteria {
		sign, met := "<=", c.measured <= c.limit
		if c.atLeast {
			sign, met = ">=", c.measured >= c.limit
		}
		verdict := "missed"
		if met {
			verdict = "met"
		}
		fmt.Printf("bar %s measured=%.3f target=%s%.3f %s\n", c.name, c.measured, sign, c.limit, verdict)
	}
}

// percentile returns the p-quantile of the latencies, with p from 0 to 1, or 0 if there
// are none. It sorts latencies.
func percentile(latencies []time.Duration, p float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[int(p*float64(len(latencies)-1))]
}
