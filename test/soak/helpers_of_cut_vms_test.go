package soak

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

const (
	// helpTime is how long VMs are cut before one that helps them fails.
	helpTime = 3 * time.Second
	// helperFaultTime is how long the cut lasts after that.
	helperFaultTime = 5 * time.Second
	// leaveTime is the time in which a target must notice that a caller has left.
	leaveTime = 500 * time.Millisecond
)

// TestHelperOfCutVMsFails guards against payments that run twice or are told wrongly, broken streams,
// and callers of cut VMs that are not served, when a VM that helps stops, is killed or is paused.
func TestHelperOfCutVMsFails(t *testing.T) {
	programs := buildPrograms(t)
	slots := make(chan struct{}, maxPartitions)
	for name, fail := range map[string]func(helper *vm){
		"stops":         func(helper *vm) { helper.signal(syscall.SIGTERM) },
		"is_killed":     func(helper *vm) { helper.kill() },
		"paused_for_1s": func(helper *vm) { pauseFor(helper, time.Second) },
		"paused_for_3s": func(helper *vm) { pauseFor(helper, 3*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			p := newPartition(t, programs, cutScenario{kind: cutHang, vms: []int{1, 4}, unframedEvery: unframedEvery})
			p.runWhileHelperFails(p.testbed.entries[1], fail)
			t.Log(p.table())
			t.Run("requests_at_cut_VMs", p.testCutVMs)
			t.Run("truth_of_answers", p.testTruth)
			t.Run("streams", p.testStreams)
			p.traceFailures(t)
		})
	}
}

func pauseFor(m *vm, d time.Duration) {
	m.signal(syscall.SIGSTOP)
	time.Sleep(d)
	m.signal(syscall.SIGCONT)
}

// runWhileHelperFails cuts VMs under a steady load. One of the others fails meanwhile; its own callers
// are not simulated.
func (p *partition) runWhileHelperFails(helper *vm, fail func(helper *vm)) {
	ctx, stop := context.WithCancel(p.t.Context())
	var callers sync.WaitGroup
	var cutVMs []*vm
	for _, n := range p.scenario.vms {
		cutVMs = append(cutVMs, p.testbed.entries[n-1])
		p.cut[p.testbed.entries[n-1].id] = true
	}
	for _, e := range p.testbed.entries {
		if e == helper {
			continue
		}
		c := p.load.newParallelCaller(e)
		callers.Go(func() { c.sendSteadily(ctx, kindIdempotent, standin.PathLook, steadyCallInterval, callTimeout) })
		callers.Go(func() { c.sendSteadily(ctx, kindNonIdempotent, standin.PathPay, steadyCallInterval, callTimeout) })
		callers.Go(func() {
			c.sendSteadily(ctx, kindStream, standin.PathDraft, steadyStreamInterval, partitionStreamTimeout)
		})
	}
	callers.Go(func() { p.measureStalls(ctx) })
	pause.For(ctx, time.Second)
	p.began = time.Now()
	end := p.testbed.cutFromTargets(p.scenario.kind, "", cutVMs...)
	pause.For(ctx, helpTime)
	fail(helper)
	pause.For(ctx, helperFaultTime)
	p.ended = time.Now()
	end()
	pause.For(ctx, healTime)
	stop()
	callers.Wait()
}

// testStreams guards against streams that end early or late because a VM that helped failed.
func (p *partition) testStreams(t *testing.T) {
	broken := 0
	for _, r := range p.counted(true) {
		if kindOf(r.id) == kindStream && r.status == http.StatusOK && !r.whole() {
			broken++
			t.Logf("%s at %s, sent %v after the cut began, broke off after %v: %v", r.id, r.entry, r.sent.Sub(p.began), r.ended.Sub(r.sent), r.err)
		}
	}
	if broken > 0 {
		t.Errorf("%d streams that had begun were broken off at the cut VMs", broken)
	}
}

// TestVMsThatLoseSomeTargets guards against a VM that is cut from the targets of one service, and
// answers for them with errors while other VMs reach them.
func TestVMsThatLoseSomeTargets(t *testing.T) {
	t.Parallel()
	programs := buildPrograms(t)
	p := newPartition(t, programs, cutScenario{kind: cutHang, vms: []int{1, 2}, unframedEvery: unframedEvery})
	others := p.testbed.targets
	defer func() { p.testbed.targets = others }()
	p.testbed.targets = nil
	for _, host := range others {
		if host.service == standin.Desk {
			p.testbed.targets = append(p.testbed.targets, host)
		}
	}
	p.runWhileHelperFails(p.testbed.entries[5], func(*vm) {})
	t.Log(p.table())
	p.testCutVMs(t)
	p.testTruth(t)
}

// TestCallerThatLeavesACutVM guards against work of a target for a caller of a cut VM who has left.
func TestCallerThatLeavesACutVM(t *testing.T) {
	t.Parallel()
	p := newPartition(t, buildPrograms(t), cutScenario{kind: cutHang, vms: []int{1}})
	cut := p.testbed.entries[0]
	p.testbed.cutFromTargets(cutHang, "", cut)
	c := p.load.newParallelCaller(cut)
	defer c.client.CloseIdleConnections()
	for range 20 { // finds the cut
		c.send(requestSpec{kind: kindIdempotent, path: standin.PathLook + c.load.newID("path"), timeout: callTimeout})
	}
	for range 10 {
		c.send(requestSpec{kind: kindStream, path: standin.PathDraft + c.load.newID("path"), timeout: partitionStreamTimeout, cancelAfter: 400 * time.Millisecond})
	}
	time.Sleep(leaveTime)
	p.history.mu.Lock()
	defer p.history.mu.Unlock()
	ran := 0
	for _, r := range p.history.requests {
		for _, run := range p.history.runs[r.id] {
			if kindOf(r.id) != kindStream {
				continue
			}
			ran++
			if run.ended.IsZero() || run.ended.After(r.ended.Add(leaveTime)) {
				t.Errorf("%s ran at %s for more than %v after its caller had left", r.id, run.target, leaveTime)
			}
		}
	}
	assert.Assert(t, ran >= 5, "%d of 10 streams ran", ran)
}

// TestAllVMsCutRefuseAtOnce guards against callers that wait, and VMs that say that they are ready,
// when no VM reaches any target.
func TestAllVMsCutRefuseAtOnce(t *testing.T) {
	t.Parallel()
	p := newPartition(t, buildPrograms(t), cutScenario{kind: cutReset, vms: []int{1, 2, 3, 4, 5, 6}})
	end := p.testbed.cutFromTargets(cutReset, "", p.testbed.entries...)
	e := p.testbed.entries[0]
	c := p.load.newParallelCaller(e)
	ctx, stop := context.WithTimeout(t.Context(), settleTime)
	c.sendSteadily(ctx, kindIdempotent, standin.PathLook, steadyCallInterval, callTimeout)
	stop()
	for range 5 {
		r, retryAfter := sendLookup(t, p, e)
		assert.Equal(t, r, http.StatusServiceUnavailable)
		assert.Assert(t, retryAfter != "", "no Retry-After")
	}
	end()
	time.Sleep(healTime)
	r := c.send(requestSpec{kind: kindIdempotent, path: standin.PathLook + "x", timeout: callTimeout})
	assert.Assert(t, r.served(), "%d %s", r.status, r.body)
}

// sendLookup returns the status and Retry-After of a lookup that must be answered within 500 ms.
func sendLookup(t *testing.T, p *partition, e *vm) (status int, retryAfter string) {
	t.Helper()
	id := p.load.newID(kindIdempotent)
	req, err := standin.Request{ID: id, Method: http.MethodPost, Path: standin.PathLook + id, Timeout: callTimeout}.HTTPRequest(e.proxy.listener.Addr().String())
	assert.NilError(t, err)
	p.history.recordSent(id)
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req.WithContext(t.Context()))
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	took := time.Since(begin)
	t.Logf("%d after %v: %s", resp.StatusCode, took, excerpt(string(body)))
	assert.Assert(t, took <= leaveTime, "refused after %v", took)
	return resp.StatusCode, resp.Header.Get("Retry-After")
}
