package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
)

// silenceTimeout is a timeout under test: how long a stream may be silent before the
// router checks whether its engine still works.
type silenceTimeout struct {
	name  string
	fixed time.Duration // 0 uses the learned timeout
}

var silenceTimeouts = []silenceTimeout{
	{"learned", 0},
	{"fixed_100ms", 100 * time.Millisecond},
	{"fixed_250ms", 250 * time.Millisecond},
	{"fixed_1s", time.Second},
}

// tokenPacing is how an engine spaces its tokens.
type tokenPacing struct {
	name   string
	faults *chicoryv1.Faults
	// frozen is true if the engine freezes at the time of the change, to measure how long
	// detection and recovery take.
	frozen bool
}

var tokenPacings = []tokenPacing{
	{"even_37ms", &chicoryv1.Faults{}, false},
	{"jitter_0-222ms", &chicoryv1.Faults{GapSpread: 6}, false},
	{"slow_370ms", &chicoryv1.Faults{SlowFactor: 10}, false},
	{"frozen", &chicoryv1.Faults{Freeze: true}, true},
}

// silenceResult is the result of one silence timeout with one token pacing.
type silenceResult struct {
	timeout     silenceTimeout
	pacing      tokenPacing
	silences    int64 // streams that exceeded the timeout
	falseAlarms int64 // silences whose engine turned out to be healthy
	restarts    int64 // attempts started on another engine
	tokens      int
	incomplete  int                     // generations that callers did not receive completely
	latency     *hdrhistogram.Histogram // of the recoveries, in microseconds; printed only for frozen engines
}

// measureSilenceDetection runs each silence timeout with each token pacing.
func measureSilenceDetection(o failureOptions) ([]silenceResult, error) {
	out := make([]silenceResult, len(silenceTimeouts)*len(tokenPacings))
	errs := make([]error, len(out))
	var wait sync.WaitGroup
	for i := range out {
		wait.Add(1)
		go func() {
			defer wait.Done()
			out[i], errs[i] = runSilenceDetection(silenceTimeouts[i/len(tokenPacings)], tokenPacings[i%len(tokenPacings)], o)
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

// runSilenceDetection streams generations and changes the token pacing of their engine
// while they run.
func runSilenceDetection(timeout silenceTimeout, pacing tokenPacing, o failureOptions) (silenceResult, error) {
	s := generation.DefaultSettings()
	s.FixedSilence = settings.Duration(timeout.fixed)
	out := silenceResult{timeout: timeout, pacing: pacing, latency: newHistogram()}
	c, err := startCluster(clusterOptions{engines: 2, routers: 1, tokenGap: o.tokenGap, capacity: 4 * o.generations, seed: o.seed, settings: s})
	if err != nil {
		return out, err
	}
	defer c.close()
	results := make([]callerResult, o.generations)
	var wait sync.WaitGroup
	for i := range results {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = c.generate(i, o.tokens)
		}()
	}
	time.Sleep(o.injectAfter)
	changedAt := time.Now()
	c.engines[0].SetFaults(pacing.faults)
	wait.Wait()
	summary := failureResult{latency: out.latency, errors: map[string]int{}}
	for _, r := range results {
		out.tokens += len(r.tokens)
		summary.add(r, changedAt, o.tokens)
	}
	out.incomplete = o.generations - summary.resumed
	out.silences = c.counterTotal("silences")
	out.falseAlarms = c.counterTotal("false_alarms")
	out.restarts = c.counterTotal("restarted")
	return out, nil
}
