package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
)

// silenceBound is a way to tell silence from slowness.
type silenceBound struct {
	name  string
	fixed time.Duration // 0 is learned
}

var silenceBounds = []silenceBound{
	{"learned", 0},
	{"fixed_100ms", 100 * time.Millisecond},
	{"fixed_250ms", 250 * time.Millisecond},
	{"fixed_1s", time.Second},
}

// pace is how an engine that is well sends tokens.
type pace struct {
	name   string
	faults *chicoryv1.Faults
	// frozen: the engine freezes at the time of the loss, for the delay of detection.
	frozen bool
}

var paces = []pace{
	{"even_37ms", &chicoryv1.Faults{}, false},
	{"jitter_0-222ms", &chicoryv1.Faults{GapSpread: 6}, false},
	{"slow_370ms", &chicoryv1.Faults{SlowFactor: 10}, false},
	{"frozen", &chicoryv1.Faults{Freeze: true}, true},
}

// alarms is what one bound did at one pace.
type alarms struct {
	bound    silenceBound
	pace     pace
	silences int64
	false_   int64
	restarts int64
	tokens   int
	wrong    int
	latency  *hdrhistogram.Histogram // of frozen engines, microseconds
}

// runAlarms streams generations whose engine changes its pace early on.
func runAlarms(o lossOptions) ([]alarms, error) {
	out := make([]alarms, len(silenceBounds)*len(paces))
	errs := make([]error, len(out))
	var wait sync.WaitGroup
	for i := range out {
		wait.Add(1)
		go func() {
			defer wait.Done()
			out[i], errs[i] = runAlarm(silenceBounds[i/len(paces)], paces[i%len(paces)], o)
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func runAlarm(b silenceBound, p pace, o lossOptions) (alarms, error) {
	s := generation.DefaultSettings()
	s.FixedSilence = settings.Duration(b.fixed)
	out := alarms{bound: b, pace: p, latency: newHistogram()}
	c, err := startCluster(clusterOptions{engines: 2, routers: 1, gap: o.gap, capacity: 4 * o.generations, seed: o.seed, settings: s})
	if err != nil {
		return out, err
	}
	defer c.close()
	results := make([]outcome, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generate(i, o.tokens)
		}()
	}
	time.Sleep(o.at)
	lost := time.Now()
	c.engines[0].SetFaults(p.faults)
	wait.Wait()
	counted := cell{latency: out.latency, errors: map[string]int{}}
	for _, r := range results {
		out.tokens += len(r.tokens)
		counted.add(r, lost, o.tokens)
	}
	out.wrong = o.generations - counted.resumed
	out.silences = c.count("silences")
	out.false_ = c.count("false_alarms")
	out.restarts = c.count("restarted")
	return out, nil
}
