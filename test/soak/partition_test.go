package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Phases of a partition.
const (
	calmTime      = 3 * time.Second
	partitionTime = 12 * time.Second
	// healTime bounds the time from the end of a partition until all requests are served.
	healTime  = time.Second
	afterTime = 4 * time.Second
)

// Load on each entry VM, sent at fixed intervals.
const (
	steadyCallInterval   = 150 * time.Millisecond
	steadyStreamInterval = 600 * time.Millisecond
	// partitionStreamTimeout is how long the caller of a stream waits for its end, which
	// takes 1.2 s without faults.
	partitionStreamTimeout = 3 * time.Second
)

// Limits of the guarantees. At VMs without a path to any target, first tries are served at
// least minCutShare times as often as at the others, and at most maxFailed and
// maxFailedShare of all first tries fail. The others serve minSoundShare of each kind.
const (
	minCutShare    = 2.0 / 3
	maxFailed      = 10
	maxFailedShare = 1.0 / 50
	minSoundShare  = 0.95
)

// maxPartitions bounds how many systems run at the same time.
const maxPartitions = 3

var partitionSize = testbedSize{deskTargets: 3, modelTargets: 6, keepers: 3, entries: 6}

// partition is a system whose entry VMs are cut from all targets for some time, while
// callers, control VMs and each other reach them.
type partition struct {
	*seedRun
	t            *testing.T
	scenario     cutScenario
	cut          map[string]bool // IDs of the cut VMs
	began, ended time.Time
	// longestStall is the longest delay of a timer of the test itself.
	longestStall time.Duration
}

// cutScenario describes which VMs are cut and how.
type cutScenario struct {
	kind string
	vms  []int // entry VMs 1 and 4 are in one zone, 2 and 5, 3 and 6
	// unframedEvery is how often a response ends with its connection; 0 means never.
	unframedEvery int
}

var cutScenarios = map[string]cutScenario{
	"hang_2_of_6":        {kind: cutHang, vms: []int{1, 2}, unframedEvery: unframedEvery},
	"hang_4_of_6":        {kind: cutHang, vms: []int{1, 2, 3, 4}, unframedEvery: unframedEvery},
	"hang_zone":          {kind: cutHang, vms: []int{1, 4}, unframedEvery: unframedEvery},
	"reset_2_of_6":       {kind: cutReset, vms: []int{1, 2}, unframedEvery: unframedEvery},
	"refuse_2_of_6":      {kind: cutRefuse, vms: []int{1, 2}, unframedEvery: unframedEvery},
	"refuse_kept_2_of_6": {kind: cutRefuse, vms: []int{1, 2}},
}

// TestEntryVMsCutFromAllTargets guards against callers who are not served because their
// entry VM has lost its paths to all targets, while other entry VMs have theirs.
func TestEntryVMsCutFromAllTargets(t *testing.T) {
	programs := buildPrograms(t)
	slots := make(chan struct{}, maxPartitions)
	for name, scenario := range cutScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			p := newPartition(t, programs, scenario)
			p.run()
			t.Log(p.table())
			t.Run("requests_at_cut_VMs", p.testCutVMs)
			t.Run("requests_at_other_VMs", p.testOtherVMs)
			t.Run("truth_of_answers", p.testTruth)
			p.traceFailures(t)
		})
	}
}

// buildPrograms builds the programs of the VMs and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	args := []string{"build", "-o", folder + "/"}
	for _, name := range []string{keeperProgram, entryProgram} {
		args = append(args, "github.com/chicoryswitch/chicoryswitch/cmd/"+name)
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return folder
}

// newPartition starts a system and waits until it serves.
func newPartition(t *testing.T, programs string, scenario cutScenario) *partition {
	t.Helper()
	o := options{programs: programs, out: t.TempDir()}
	p := &partition{t: t, scenario: scenario, cut: map[string]bool{}, seedRun: &seedRun{options: o, rand: newRand(1)}}
	p.history = newHistory(func(text string) { t.Log(text) })
	var err error
	p.testbed, err = newTestbed(o, 1, partitionSize, p.history)
	assert.NilError(t, err)
	t.Cleanup(p.testbed.close)
	for _, host := range p.testbed.targets {
		host.changeBehavior(resetTimings)
		host.changeBehavior(func(b *standin.Behavior) { b.UnframedEvery = scenario.unframedEvery })
	}
	p.testbed.trackOwners()
	p.operator = newOperator(p.testbed, p.history)
	p.load = &loadGenerator{history: p.history, operator: p.operator}
	assert.NilError(t, p.start(t.Context()))
	return p
}

// run cuts VMs from all targets under a steady load.
func (p *partition) run() {
	var vms []*vm
	for _, n := range p.scenario.vms {
		e := p.testbed.entries[n-1]
		vms = append(vms, e)
		p.cut[e.id] = true
	}
	ctx, stop := context.WithCancel(p.t.Context())
	var callers sync.WaitGroup
	for _, e := range p.testbed.entries {
		c := p.load.newParallelCaller(e)
		callers.Go(func() { c.sendSteadily(ctx, kindIdempotent, standin.PathLook, steadyCallInterval, callTimeout) })
		callers.Go(func() { c.sendSteadily(ctx, kindNonIdempotent, standin.PathPay, steadyCallInterval, callTimeout) })
		callers.Go(func() {
			c.sendSteadily(ctx, kindStream, standin.PathDraft, steadyStreamInterval, partitionStreamTimeout)
		})
	}
	callers.Go(func() { p.measureStalls(ctx) })
	pause.For(ctx, calmTime)
	p.began = time.Now()
	end := p.testbed.cutFromTargets(p.scenario.kind, "", vms...)
	pause.For(ctx, partitionTime)
	p.ended = time.Now()
	end()
	pause.For(ctx, healTime+afterTime)
	stop()
	callers.Wait()
}

// measureStalls measures how late timers of the test run until ctx ends.
func (p *partition) measureStalls(ctx context.Context) {
	const interval = 10 * time.Millisecond
	for last := time.Now(); pause.For(ctx, interval); last = time.Now() {
		p.longestStall = max(p.longestStall, time.Since(last)-interval)
	}
}

// newParallelCaller returns a caller whose requests don't wait for each other.
func (l *loadGenerator) newParallelCaller(entry *vm) *caller {
	const idleConns = 64
	return &caller{load: l, entry: entry, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true},
	}}
}

// sendSteadily sends requests with different paths at a fixed interval until ctx ends. It
// returns when all are answered.
func (c *caller) sendSteadily(ctx context.Context, kind, prefix string, interval, timeout time.Duration) {
	defer c.client.CloseIdleConnections()
	pause.For(ctx, rand.N(interval))
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		requests.Go(func() { c.send(requestSpec{kind: kind, path: prefix + c.load.newID("path"), timeout: timeout}) })
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// tally counts requests.
type tally struct{ sent, served int }

func (c tally) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

func (c tally) plus(x tally) tally { return tally{c.sent + x.sent, c.served + x.served} }

// countedKinds are the kinds of requests that callers send during a partition.
var countedKinds = []string{kindIdempotent, kindNonIdempotent, kindStream}

// counted returns the first tries that the VMs' callers sent from settleTime after the
// partition began until its end.
func (p *partition) counted(cutVMs bool) []*request {
	return p.sentBetween(p.began.Add(settleTime), p.ended, func(r *request) bool { return p.cut[r.entry] == cutVMs })
}

func (p *partition) sentBetween(from, to time.Time, match func(r *request) bool) []*request {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	var found []*request
	for _, r := range p.history.requests {
		if !r.sent.Before(from) && r.sent.Before(to) && match(r) {
			found = append(found, r)
		}
	}
	return found
}

func tallyOf(requests []*request, kind string) tally {
	c := tally{}
	for _, r := range requests {
		if kindOf(r.id) != kind {
			continue
		}
		c.sent++
		if r.served() {
			c.served++
		}
	}
	return c
}

// table shows the first tries of each kind and how the others ended.
func (p *partition) table() string {
	cutVMs, others := p.counted(true), p.counted(false)
	text := "served at the first try (cut VMs; others)\n"
	for _, kind := range countedKinds {
		c, o := tallyOf(cutVMs, kind), tallyOf(others, kind)
		text += fmt.Sprintf("%-6s %d of %d; %d of %d\n", kind, c.served, c.sent, o.served, o.sent)
	}
	text += fmt.Sprintf("longest stall of the test itself: %v\n", p.longestStall)
	return text + "failures at cut VMs:\n" + failures(cutVMs) + "failures at others:\n" + failures(others)
}

// failures counts the requests that were not served, by kind, status and start of the
// response.
func failures(requests []*request) string {
	counts := map[string]int{}
	for _, r := range requests {
		if !r.served() {
			counts[fmt.Sprintf("%s %d %s", kindOf(r.id), r.status, failureKind(r))]++
		}
	}
	text := ""
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%5d %s\n", counts[name], name)
	}
	return text
}

// failureKind returns the part of a refusal's body that names the fault.
func failureKind(r *request) string {
	if r.status == http.StatusOK {
		return "broken off"
	}
	kind, _, _ := strings.Cut(r.body, ":")
	return excerpt(kind)
}

// testCutVMs guards against callers of the cut VMs who are not served at the first try.
func (p *partition) testCutVMs(t *testing.T) {
	cutVMs, others := p.counted(true), p.counted(false)
	all := tally{}
	for _, kind := range countedKinds {
		c, o := tallyOf(cutVMs, kind), tallyOf(others, kind)
		all = all.plus(c)
		if c.share() < minCutShare*o.share() {
			t.Errorf("%s: cut VMs served %d of %d first tries, the others %d of %d", kind, c.served, c.sent, o.served, o.sent)
		}
	}
	limit := maxFailed + maxFailedShare*float64(len(cutVMs)+len(others))
	if failed := all.sent - all.served; float64(failed) > limit {
		t.Errorf("%d first tries failed at the cut VMs, allowed %.0f", failed, limit)
	}
	p.checkAfterCut(t, true)
}

// testOtherVMs guards against VMs with all their paths that refuse requests because of
// what cut VMs have lost.
func (p *partition) testOtherVMs(t *testing.T) {
	others := p.counted(false)
	for _, kind := range countedKinds {
		if o := tallyOf(others, kind); o.share() < minSoundShare {
			t.Errorf("%s: the VMs that were not cut served %d of %d first tries", kind, o.served, o.sent)
		}
	}
	quarantined := 0
	for _, r := range others {
		if strings.Contains(r.body, "prompt_quarantined") {
			quarantined++
		}
	}
	if quarantined > 0 {
		t.Errorf("the VMs that were not cut refused %d streams because of a quarantine, though no target crashed", quarantined)
	}
	p.checkAfterCut(t, false)
}

// checkAfterCut checks that from healTime after the partition on, all requests are served.
func (p *partition) checkAfterCut(t *testing.T, cutVMs bool) {
	from := p.ended.Add(healTime)
	for _, r := range p.sentBetween(from, from.Add(afterTime), func(r *request) bool { return p.cut[r.entry] == cutVMs }) {
		if !r.served() {
			t.Errorf("%s at %s, sent %v after the end of the cut: status %d, %v, %s", r.id, r.entry, r.sent.Sub(p.ended), r.status, r.err, excerpt(r.body))
		}
	}
}

// testTruth guards against payments that run twice and refusals of requests that ran.
func (p *partition) testTruth(t *testing.T) {
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	for _, r := range p.history.requests {
		if runs := p.history.runs[r.id]; r.signer == "" && standin.IsNotRunStatus(r.status) && len(runs) > 0 {
			t.Errorf("%s at %s was refused with status %d, but ran at %s: %s", r.id, r.entry, r.status, runs[0].target, excerpt(r.body))
		}
	}
	for _, violation := range p.history.violations {
		t.Error(violation)
	}
}
