package soak

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	// maxTracedRequests bounds how many failed requests are traced.
	maxTracedRequests = 6
	// maxTraceLines bounds the lines of one VM's log that a trace shows.
	maxTraceLines = 80
)

// pathEvents are the log events that show how a VM reaches targets.
var pathEvents = map[logging.Event]bool{
	logging.TargetPathLost: true, logging.TargetPathFound: true, logging.TargetsCutOff: true, logging.TargetsReached: true,
	logging.RelayBegun: true, logging.RelayRefused: true, logging.EngineSilent: true,
}

// traceFailures prints what the logs of the VMs say of some of the requests that were not served, and of
// their paths to targets, if t has failed: the logs are removed with the test's folder.
func (p *partition) traceFailures(t *testing.T) {
	if !t.Failed() {
		return
	}
	traced := map[string]map[string]bool{} // IDs of requests by entry VM
	count := 0
	for _, r := range append(p.counted(true), p.counted(false)...) {
		if r.served() || count == maxTracedRequests {
			continue
		}
		if traced[r.entry] == nil {
			traced[r.entry] = map[string]bool{}
		}
		traced[r.entry][r.id] = true
		count++
	}
	for _, e := range p.testbed.entries {
		if traced[e.id] != nil {
			p.printLog(t, e, traced[e.id])
		}
	}
}

// printLog prints the lines of a VM's log about the requests, and about its paths.
func (p *partition) printLog(t *testing.T, e *vm, requests map[string]bool) {
	f, err := os.Open(e.log.Name())
	assert.NilError(t, err)
	defer func() { _ = f.Close() }() // opened for reading only
	lines, err := logging.ReadLines(f)
	assert.NilError(t, err)
	printed := 0
	for _, l := range lines {
		if !requests[l.Request()] && !(pathEvents[l.Event] && l.Time.After(p.began)) {
			continue
		}
		if printed++; printed > maxTraceLines {
			t.Logf("%s: further lines are left out", e.id)
			return
		}
		t.Logf("%s %v after the cut began: %s %v", e.id, l.Time.Sub(p.began).Round(time.Millisecond), l.Event, l.Fields)
	}
}
