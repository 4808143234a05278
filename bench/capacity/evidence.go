package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// measureEvidence measures what one more (route, version, team) with traffic costs
// in a router's report, and what recording one request costs.
func measureEvidence(r *report) error {
	size := r.slope("evidence report", "route, version and team with traffic", "bytes")
	record := r.slope("observation recorded", "observation", "µs")
	for _, cells := range []int{10, 100, 1_000} {
		c := evidence.NewCollector()
		observe := func(n int) {
			for i := range n {
				c.Record(request.Observation{
					Route: fmt.Sprint("route-", i%17), Version: "v1", Team: fmt.Sprint("team-", i%cells), AvailabilityZone: "zone-a",
					FirstToken: time.Duration(300+i%700) * time.Millisecond, MeanGap: time.Duration(20+i%20) * time.Millisecond,
				})
			}
		}
		observe(10 * cells)
		drained := c.Drain()
		size.add(float64(len(drained)), float64(proto.Size(&chicoryv1.ReportRequest{Evidence: drained})))
	}
	for _, n := range []int{50_000, 100_000, 200_000} {
		c := evidence.NewCollector()
		o := request.Observation{Route: "route-1", Version: "v1", Team: "team-1", AvailabilityZone: "zone-a", MeanGap: 37 * time.Millisecond}
		start := time.Now()
		for range n {
			c.Record(o)
		}
		record.add(float64(n), microseconds(time.Since(start)))
	}
	return nil
}
