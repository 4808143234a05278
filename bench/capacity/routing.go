package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/admission"
	"github.com/chicoryswitch/chicoryswitch/internal/request/routing"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// newHolder returns a holder with configuration c in force.
func newHolder(c *chicoryv1.Configuration) (*config.Holder, error) {
	h := &config.Holder{}
	_, err := h.ApplyFull(c)
	return h, errors.Trace(err)
}

// measureRouting measures a picker's memory and the time to pick a target, by number
// of targets.
func measureRouting(r *report) error {
	memory := r.slope("picker memory", "target", "bytes")
	pick := r.slope("choice of a target", "target", "µs")
	for _, targets := range []int{20, 200, 2_000, 5_700} {
		h, err := newHolder(sampleConfiguration(10, targets))
		if err != nil {
			return errors.Trace(err)
		}
		heapBefore := liveHeapBytes()
		p := routing.NewPicker(routing.Options{
			Holder: h, Zone: "zone-1", Loads: observe.NewTable(observe.Defaults()), Logger: logging.Discard(), Settings: routing.Defaults(),
		})
		w := request.Work{ID: "r", Team: "team-00001", Route: h.Current().Route("route-1"), Version: "v1"}
		var failed error
		pickDuration := meanDuration(func() {
			placement, err := p.Pick(w, nil)
			if err != nil {
				failed = err
				return
			}
			placement.Done(request.ResultSuccess, time.Millisecond)
		})
		if failed != nil {
			return errors.Trace(failed)
		}
		pick.add(float64(targets), microseconds(pickDuration))
		memory.add(float64(targets), liveHeapBytes()-heapBefore)
		runtime.KeepAlive(p)
	}
	return nil
}

// measureAdmission measures the memory of a router's admission control by number of
// teams that made a request.
func measureAdmission(r *report) error {
	memory := r.slope("admission memory", "team that made a request", "bytes")
	for _, teams := range []int{140, 1_400, 14_000} {
		h, err := newHolder(sampleConfiguration(teams, 1))
		if err != nil {
			return errors.Trace(err)
		}
		route := h.Current().Route("route-1")
		heapBefore := liveHeapBytes()
		a := newAdmitter(h, 1)
		for i := range teams {
			w := request.Work{Team: fmt.Sprintf("team-%05d", i), Route: route, Version: "v1", Deadline: time.Now().Add(admissionTimeout)}
			release, err := a.Admit(uncancelledContext(), w)
			if err != nil {
				return errors.Trace(err)
			}
			release(0)
		}
		memory.add(float64(teams), liveHeapBytes()-heapBefore)
		runtime.KeepAlive(a)
	}
	return nil
}

// admissionTimeout is the longest time that a measured request waits for admission.
const admissionTimeout = 20 * time.Millisecond

// newAdmitter returns the admitter of one of the given number of routers.
func newAdmitter(h *config.Holder, routers int) *admission.Admitter {
	return admission.New(admission.Options{
		Holder: h, Routers: func() int { return routers },
		Capacity: func(string, string) (int, int) { return 100_000, 0 }, Settings: admission.Defaults(),
	})
}

// measureTeamLimits measures which share of a team's rate limit is admitted when the
// limit is split evenly over the routers and the team offers twice its limit.
func measureTeamLimits(r *report) error {
	const callsPerSecond, seconds = 100, 4
	admittedShare := r.slope("team limit of 100 calls/s used up at 200/s offered", "router", "share of the limit")
	for _, routers := range []int{3, 9, 30, 100} {
		c := sampleConfiguration(1, 1)
		c.Teams[0].CallsPerSecond = callsPerSecond
		h, err := newHolder(c)
		if err != nil {
			return errors.Trace(err)
		}
		admitted := offerCalls(h, routers, 2*callsPerSecond, seconds*time.Second)
		admittedShare.add(float64(routers), float64(admitted)/(callsPerSecond*seconds))
	}
	return nil
}

// offerCalls sends one team's calls to the routers in a fixed order, in steps of 7919
// routers, and returns how many were admitted after the first second, in which the
// routers' token buckets use up their burst.
func offerCalls(h *config.Holder, routers, perSecond int, duration time.Duration) int {
	const warmUp = time.Second
	var admitters []*admission.Admitter
	for range routers {
		admitters = append(admitters, newAdmitter(h, routers))
	}
	route := h.Current().Route("route-1")
	start := time.Now()
	admitted := 0
	for i := 0; ; i++ {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(at))
		if time.Since(start) > warmUp+duration {
			return admitted
		}
		a := admitters[i*7919%routers]
		release, err := a.Admit(uncancelledContext(), request.Work{Team: "team-00000", Route: route, Version: "v1", Deadline: time.Now().Add(admissionTimeout)})
		if err != nil {
			continue
		}
		release(0)
		if time.Since(start) > warmUp {
			admitted++
		}
	}
}
