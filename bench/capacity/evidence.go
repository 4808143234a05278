package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
)

// measureEvidence measures the size of a router's evidence report by the number of
// combinations of route, version and team with traffic, and the time to record one
// request.
func measureEvidence(r *report) error {
	size := r.slope("evidence report", "route, version and team with traffic", "bytes")
	record := r.slope("observation recorded", "observation", "µs")
	for _, combinations := range []int{10, 100, 1_000} {
		collector := evidence.NewCollector()
		observe := func(n int) {
			for i := range n {
				collector.Record(request.Observation{
					Route: fmt.Sprint("route-", i%17), Version: "v1", Team: fmt.Sprint("team-", i%combinations), AvailabilityZone: "zone-a",
					FirstToken: time.Duration(300+i%700) * time.Millisecond, MeanGap: time.Duration(20+i%20) * time.Millisecond,
				})
			}
		}
		observe(10 * combinations)
		drained := collector.Drain()
		size.add(float64(len(drained)), float64(proto.Size(&chicoryv1.ReportRequest{Evidence: drained})))
	}
	for _, n := range []int{50_000, 100_000, 200_000} {
		collector := evidence.NewCollector()
		observation := request.Observation{Route: "route-1", Version: "v1", Team: "team-1", AvailabilityZone: "zone-a", MeanGap: 37 * time.Millisecond}
		start := time.Now()
		for range n {
			collector.Record(observation)
		}
		record.add(float64(n), microseconds(time.Since(start)))
	}
	return nil
}
