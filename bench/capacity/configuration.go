package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/process/state"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// sampleConfiguration returns a configuration of one service with 17 routes and the
// given numbers of teams, each with limits and an API key, and of targets.
func sampleConfiguration(teams, targets int) *chicoryv1.Configuration {
	const routes = 17
	c := &chicoryv1.Configuration{Revision: 1, ClusterId: "capacity"}
	c.Services = append(c.Services, &chicoryv1.Service{Name: "drafts", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL})
	for i := range routes {
		c.Routes = append(c.Routes, &chicoryv1.Route{
			Name: fmt.Sprintf("route-%d", i), Service: "drafts", Version: "v1", DefaultTimeoutMs: 600_000,
			Objectives: &chicoryv1.Objectives{AvailabilityMillipercent: 99_900, FirstTokenMs: 1100, TokenGapMs: 37, LatencyMillipercent: 95_000},
		})
	}
	for i := range teams {
		c.Teams = append(c.Teams, &chicoryv1.Team{
			Name: fmt.Sprintf("team-%05d", i), KeyDigest: fmt.Sprintf("%064x", i),
			TokensPerSecond: 2000, ConcurrentGenerations: 20, CallsPerSecond: 10,
		})
	}
	for i := range targets {
		c.Targets = append(c.Targets, &chicoryv1.Target{
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i/65536, i/256%256, i%256), Service: "drafts", Version: "v1",
			AvailabilityZone: fmt.Sprintf("zone-%d", i%12), Capacity: 64,
		})
	}
	return c
}

// measureConfiguration measures the encoded size and the memory of a configuration
// by number of teams, the size of the delta of one change, the time to apply a
// confirm at a control VM and the time to apply an update at a router. The time at a
// router is the mean of a full configuration and a delta.
func measureConfiguration(r *report) error {
	size := r.slope("configuration size", "team", "bytes")
	memory := r.slope("configuration memory", "team", "bytes")
	confirmTime := r.slope("confirm applied", "team", "µs")
	deltaTime := r.slope("delta applied at a router", "team", "µs")
	deltaSize := r.slope("delta of one change", "team", "bytes")
	for _, teams := range []int{1_400, 7_000, 14_000} {
		c := sampleConfiguration(teams, 100)
		b, err := proto.Marshal(c)
		if err != nil {
			return errors.Trace(err)
		}
		size.add(float64(teams), float64(len(b)))
		heapBefore := liveHeapBytes()
		decoded := &chicoryv1.Configuration{}
		if err := proto.Unmarshal(b, decoded); err != nil {
			return errors.Trace(err)
		}
		view := config.NewView(decoded)
		memory.add(float64(teams), liveHeapBytes()-heapBefore)
		confirmed, err := confirmDuration(c)
		if err != nil {
			return errors.Trace(err)
		}
		confirmTime.add(float64(teams), microseconds(confirmed))
		next := proto.CloneOf(c)
		next.Revision = 2
		next.Teams[teams/2].CallsPerSecond++
		delta := config.Diff(c, next)
		deltaSize.add(float64(teams), float64(proto.Size(delta)))
		deltaTime.add(float64(teams), microseconds(meanDuration(func() {
			var h config.Holder
			_, _ = h.ApplyFull(view.Raw())
			_, _ = h.ApplyDelta(delta)
		})/2))
	}
	return nil
}

// confirmDuration returns the mean time that a control VM takes to apply one confirm.
func confirmDuration(c *chicoryv1.Configuration) (time.Duration, error) {
	snapshot, err := proto.Marshal(&chicoryv1.StateSnapshot{Configuration: c})
	if err != nil {
		return 0, errors.Trace(err)
	}
	m := state.New(ledger.DefaultSettings())
	if err := m.Restore(snapshot); err != nil {
		return 0, errors.Trace(err)
	}
	n := uint64(0)
	var failed error
	mean := meanDuration(func() {
		n++
		change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: &chicoryv1.Team{Name: "team-00001", CallsPerSecond: uint32(n)}}}
		p, err := m.Plan("op", []*chicoryv1.Change{change}, time.Now())
		if err != nil {
			failed = err
			return
		}
		b, err := proto.Marshal(&chicoryv1.Command{Command: &chicoryv1.Command_Confirm{
			Confirm: &chicoryv1.ConfirmRequest{RequestId: fmt.Sprint(n), Operator: "op", Why: "measure", Plan: p},
		}})
		if err != nil {
			failed = err
			return
		}
		if res, ok := m.Apply(n, b).(state.Result); !ok || res.Err != nil {
			failed = errors.Errorf("apply: %v", res.Err)
		}
	})
	return mean, failed
}

// microseconds returns d in microseconds.
func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
