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

// sampleConfiguration has teams with limits and keys, and targets of a service
// with 17 routes.
func sampleConfiguration(teams, targets int) *chicoryv1.Configuration {
	const models = 17
	c := &chicoryv1.Configuration{Revision: 1, ClusterId: "capacity"}
	c.Services = append(c.Services, &chicoryv1.Service{Name: "drafts", Kind: chicoryv1.ServiceKind_SERVICE_KIND_MODEL})
	for i := range models {
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

// measureConfiguration measures what one more team costs in a configuration, and
// what one change costs in bytes and time.
func measureConfiguration(r *report) error {
	size := r.slope("configuration size", "team", "bytes")
	memory := r.slope("configuration memory", "team", "bytes")
	apply := r.slope("confirm applied", "team", "µs")
	swap := r.slope("delta applied at a router", "team", "µs")
	delta := r.slope("delta of one change", "team", "bytes")
	for _, teams := range []int{1_400, 7_000, 14_000} {
		c := sampleConfiguration(teams, 100)
		b, err := proto.Marshal(c)
		if err != nil {
			return errors.Trace(err)
		}
		size.add(float64(teams), float64(len(b)))
		before := heapBytes()
		decoded := &chicoryv1.Configuration{}
		if err := proto.Unmarshal(b, decoded); err != nil {
			return errors.Trace(err)
		}
		v := config.NewView(decoded)
		memory.add(float64(teams), heapBytes()-before)
		applied, err := timeConfirm(c)
		if err != nil {
			return errors.Trace(err)
		}
		apply.add(float64(teams), microseconds(applied))
		next := proto.CloneOf(c)
		next.Revision = 2
		next.Teams[teams/2].CallsPerSecond++
		d := config.Diff(c, next)
		delta.add(float64(teams), float64(proto.Size(d)))
		swap.add(float64(teams), microseconds(perCall(func() {
			var h config.Holder
			_, _ = h.ApplyFull(v.Raw())
			_, _ = h.ApplyDelta(d)
		})/2))
	}
	return nil
}

// timeConfirm returns the time that a control VM takes to apply one confirm.
func timeConfirm(c *chicoryv1.Configuration) (time.Duration, error) {
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
	d := perCall(func() {
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
	return d, failed
}

func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
