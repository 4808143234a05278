package routing

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// TestMain runs the property tests with a fixed seed; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

const testCapacity = 10

// fixture is a picker with n targets of one service in three availability zones.
type fixture struct {
	holder     *config.Holder
	table      *observe.Table
	picker     *Picker
	log        *bytes.Buffer
	roundRobin *RoundRobin
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func newFixture(n int) *fixture {
	f := &fixture{
		holder: &config.Holder{},
		table:  observe.NewTable(observe.Defaults()),
		log:    &bytes.Buffer{},
	}
	f.apply(1, n)
	f.roundRobin = NewRoundRobin(f.holder)
	f.picker = NewPicker(Options{
		Holder: f.holder, Zone: "z0", Loads: f.table, Logger: logging.New(f.log, "router", "r1"),
		Rand: deterministicRand(), Settings: Defaults(),
	})
	return f
}

// deterministicRand returns a random number generator with a fixed seed.
func deterministicRand() func() uint64 {
	state := uint64(1)
	return func() uint64 {
		state = state*6364136223846793005 + 1442695040888963407
		return state >> 33
	}
}

// apply applies a configuration with n targets.
func (f *fixture) apply(revision uint64, n int) {
	c := &chicoryv1.Configuration{Revision: revision, Services: []*chicoryv1.Service{{Name: "s"}}}
	for i := range n {
		c.Targets = append(c.Targets, &chicoryv1.Target{
			Address: address(i), Service: "s", Version: "v1", Capacity: testCapacity,
			AvailabilityZone: fmt.Sprint("z", i%3),
		})
	}
	if _, err := f.holder.ApplyFull(c); err != nil {
		panic(err)
	}
}

func newWork() request.Work {
	return request.Work{Route: &chicoryv1.Route{Name: "r", Service: "s"}, Version: "v1"}
}

// pick returns the address of the picked target and the placement's Done; the request
// is in flight until Done is called.
func (f *fixture) pick(t *testing.T, w request.Work, exclude ...string) (string, func(request.Result, time.Duration)) {
	t.Helper()
	p, err := f.picker.Pick(w, exclude)
	assert.NilError(t, err)
	return p.Target.GetAddress(), p.Done
}

// finish records n results for target i without picking it.
func (f *fixture) finish(i, n int, r request.Result) {
	t := f.picker.current()
	g := t.groups[groupKey{"s", "v1"}]
	for range n {
		g.recordResult(t.endpoints[address(i)], r, time.Millisecond, 0)
	}
}

// picks returns how often each target is picked for n requests that end immediately.
func (f *fixture) picks(t *testing.T, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		a, done := f.pick(t, newWork())
		done(request.ResultSuccess, time.Millisecond)
		counts[a]++
	}
	return counts
}

func TestNoTargetSetsRetryAfter(t *testing.T) {
	f := newFixture(0)
	_, err := f.picker.Pick(newWork(), nil)
	assert.Assert(t, fault.Is(err, fault.NoTarget))
	assert.Assert(t, fault.Of(err).RetryAfter >= minNoTargetRetryAfter)
	w := newWork()
	w.Version = "v2"
	f.apply(2, 3)
	_, err = f.picker.Pick(w, nil)
	assert.Assert(t, fault.Is(err, fault.NoTarget))
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	f := newFixture(2)
	f.table.State(address(0)).SetReport(observe.Report{Leaving: true, MeasuredAt: time.Now()})
	assert.DeepEqual(t, f.picks(t, 100), map[string]int{address(1): 100})
	f.table.State(address(1)).SetPlatformLeaving(true)
	_, err := f.picker.Pick(newWork(), nil)
	assert.Assert(t, fault.Is(err, fault.NoTarget))
}

func TestOwnZoneIsPreferredUpToBound(t *testing.T) {
	f := newFixture(6)
	local := 0
	var dones []func(request.Result, time.Duration)
	for range 12 {
		a, done := f.pick(t, newWork())
		dones = append(dones, done)
		if a == address(0) || a == address(3) {
			local++
		}
	}
	// The two local targets are preferred until their load exceeds that of the idle
	// ones by more than ZoneBound.
	assert.Assert(t, local >= 4 && local < 12, "%d of 12 in the own availability zone", local)
	for _, done := range dones {
		done(request.ResultSuccess, time.Millisecond)
	}
}

func TestSlowTargetGetsLessWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		for i := range 4 {
			d := 10 * time.Millisecond
			if i == 3 {
				d = 100 * time.Millisecond
			}
			f.finish(i, 1, request.ResultSuccess)
			e := f.picker.current().endpoints[address(i)]
			e.meanLatency = d
		}
		time.Sleep(time.Second)
		assert.Equal(t, f.picks(t, 300)[address(3)], 0)
	})
}

func TestCallsAvoidAStalledTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		for i := range 4 {
			f.finish(i, 1, request.ResultSuccess)
		}
		f.picks(t, 1)
		assert.Assert(t, !f.picker.HasImpairedTargets())
		for i := 1; i < 4; i++ {
			f.table.State(address(i)).SetReport(observe.Report{Load: testCapacity / 2, MeasuredAt: time.Now()})
		}
		assert.Assert(t, f.picks(t, 200)[address(0)] > 0)
		e := f.picker.current().endpoints[address(0)]
		newPlacement(f.picker.current().groups[groupKey{"s", "v1"}], e, time.Now(), true)
		time.Sleep(minStall + time.Millisecond)
		assert.Assert(t, f.picker.HasImpairedTargets())
		assert.Equal(t, f.picks(t, 200)[address(0)], 0)
		time.Sleep(stallProbeInterval)
		assert.Assert(t, !e.isAvoidedByCalls(time.Now()), "calls still avoid the stalled target")
		e.recordSuccess(time.Now())
		assert.Assert(t, !f.picker.HasImpairedTargets())
	})
}

func TestCallsOvertakenByHedgesEjectTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4)
		f.finish(0, 1, request.ResultSuccess)
		g := f.picker.current().groups[groupKey{"s", "v1"}]
		e := f.picker.current().endpoints[address(0)]
		for range Defaults().EjectLate {
			g.recordResult(e, request.ResultAbandoned, 0, time.Minute)
		}
		assert.Equal(t, f.picks(t, 200)[address(0)], 0)
		assert.Assert(t, strings.HasSuffix(f.picker.Explain(address(0))[0], "ejected: late answers in a row"))
	})
}

func TestCachedPrefixIsPreferredWithinBound(t *testing.T) {
	f := newFixture(6)
	w := newWork()
	w.PrefixHash = 7
	first, _ := f.pick(t, w)
	for range 2 {
		a, _ := f.pick(t, w)
		assert.Equal(t, a, first)
	}
	counts := map[string]int{}
	for range 30 {
		a, _ := f.pick(t, w)
		counts[a]++
	}
	assert.Assert(t, len(counts) > 1, "all went to the target with the prefix")
	assert.Assert(t, f.table.State(first).InFlight() <= testCapacity)
}

func BenchmarkPick(b *testing.B) {
	f := newFixture(20)
	f.picker.opts.Rand = nil
	p := NewPicker(Options{Holder: f.holder, Zone: "z0", Loads: f.table, Logger: logging.Discard(), Settings: Defaults()})
	w := newWork()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			placed, err := p.Pick(w, nil)
			if err != nil {
				b.Fatal(err)
			}
			placed.Done(request.ResultSuccess, time.Millisecond)
		}
	})
}
