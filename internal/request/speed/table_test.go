package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listed(service string, n int) []*chicoryv1.ListedTarget {
	var list []*chicoryv1.ListedTarget
	for i := range n {
		list = append(list, &chicoryv1.ListedTarget{Address: fmt.Sprint(service, i), Instance: "first", Service: service})
	}
	return list
}

// fleet simulates the targets of a service. slowness is the lasting factor of each target. Each
// is slowed further by slowed for a share of the time, drawn anew for each state.
type fleet struct {
	table    *Table
	random   *rand.Rand
	slowness []float64
	slowed   float64
	share    float64
	// statesLasting: what a target states includes its lasting factor.
	statesLasting bool
	now           time.Time
}

func newFleet(slowness ...float64) *fleet {
	f := &fleet{table: NewTable(), random: rand.New(rand.NewPCG(1, 2)), slowness: slowness, slowed: 1, now: start}
	f.table.Update(listed("e", len(slowness)))
	return f
}

func (f *fleet) momentary() float64 {
	if f.random.Float64() < f.share {
		return f.slowed
	}
	return 1
}

func (f *fleet) state(i int) {
	percent := 100 * f.momentary()
	if f.statesLasting {
		percent *= f.slowness[i]
	}
	f.table.ObserveStated(fmt.Sprint("e", i), "first", int(percent), f.now)
}

// stream runs a stream of 140 events at target i.
func (f *fleet) stream(i int) {
	f.state(i)
	var sampler EventSampler
	running := 1 + f.random.IntN(12)
	for range 139 {
		gap := time.Duration(float64(30*time.Millisecond) * (1 + 0.1*float64(running)) * f.slowness[i] * f.momentary() * (0.8 + 0.4*f.random.Float64()))
		f.now = f.now.Add(gap)
		if mean, ok := sampler.Add(gap); ok {
			f.table.ObserveEvents(fmt.Sprint("e", i), "first", mean, running, f.now)
		}
	}
}

func (f *fleet) factor(i int) float64 { return f.table.Factor(fmt.Sprint("e", i), "first", f.now) }

// calm is a time after which stated values have no weight in the momentary part.
const calm = 2 * time.Second

// TestLastingDifferencesAreFoundAfterAFewStreams guards against targets that are 0.6 to 1.6 times
// as fast as others for good and get as many requests as these, whether what they state includes
// that or not.
func TestLastingDifferencesAreFoundAfterAFewStreams(t *testing.T) {
	slowness := []float64{0.63, 0.8, 1, 1, 1, 1.25, 1.6}
	for _, statesLasting := range []bool{false, true} {
		f := newFleet(slowness...)
		f.slowed, f.share, f.statesLasting = 2.5, 0.1, statesLasting
		for range 4 {
			for _, i := range f.random.Perm(len(slowness)) {
				f.stream(i)
			}
		}
		f.now = f.now.Add(calm)
		for i, want := range slowness {
			got := f.factor(i)
			assert.Assert(t, math.Abs(math.Log(got/want)) < 0.2, "states lasting %v: target with factor %v: %v", statesLasting, want, got)
		}
	}
}

// TestStatesThatChangeOftenKeepTheOrder guards against requests that go back and forth between two
// targets, or to the slower one, because of what each of them stated last.
func TestStatesThatChangeOftenKeepTheOrder(t *testing.T) {
	f := newFleet(1, 1, 1, 1.6)
	f.slowed, f.share = 2.5, 0.3
	for range 5 {
		for _, i := range f.random.Perm(4) {
			f.stream(i)
		}
	}
	wrong := 0
	for range 1000 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.state(0)
		f.state(3)
		if f.factor(0) >= f.factor(3) {
			wrong++
		}
	}
	assert.Assert(t, wrong < 10, "the faster target was taken for the slower one in %d of 1000 cases", wrong)
}

// TestStatedPaceLosesItsWeight guards against a momentary pace that is taken for a forecast: it
// counts when it arrives, less after 150 ms, and not at all after 2 s.
func TestStatedPaceLosesItsWeight(t *testing.T) {
	f := newFleet(1, 1, 1)
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		for i := range 3 {
			f.table.ObserveStated(fmt.Sprint("e", i), "first", 100, f.now)
		}
	}
	f.table.ObserveStated("e0", "first", 250, f.now)
	fresh := f.factor(0)
	f.now = f.now.Add(momentaryLifetime)
	older := f.factor(0)
	f.now = f.now.Add(calm)
	old := f.factor(0)
	assert.Assert(t, fresh > 1.2 && fresh < 1.5, "%v", fresh)
	assert.Assert(t, older > 1.05 && older < 1+(fresh-1)*0.6, "%v after %v", older, fresh)
	assert.Assert(t, old < 1.05, "%v", old)
}

// TestPausesAreNoSpeed guards against a target that is avoided because some of its streams paused
// for a second.
func TestPausesAreNoSpeed(t *testing.T) {
	f := newFleet(1, 1, 1)
	for range 4 {
		for i := range 3 {
			f.stream(i)
		}
	}
	var sampler EventSampler
	for n := range 200 {
		gap := 45 * time.Millisecond
		if n%40 == 20 {
			gap = time.Second
		}
		f.now = f.now.Add(gap)
		if mean, ok := sampler.Add(gap); ok {
			f.table.ObserveEvents("e0", "first", mean, 5, f.now)
		}
	}
	f.table.ObserveFirstEvent("e0", "first", 5000, 20*time.Second, f.now)
	f.now = f.now.Add(calm)
	assert.Assert(t, f.factor(0) < 1.15, "%v", f.factor(0))
}

// TestTargetThatWasSlowOnceIsTriedAgain guards against an estimate that is kept for good because
// the target gets no requests, so that nothing shows that it has become faster.
func TestTargetThatWasSlowOnceIsTriedAgain(t *testing.T) {
	f := newFleet(1, 1, 1, 1)
	for range 3 {
		for i := range 4 {
			f.stream(i)
		}
	}
	f.slowness[0] = 3.5
	for range 4 {
		f.stream(0)
	}
	assert.Assert(t, f.factor(0) > 1.6, "%v", f.factor(0))
	f.now = f.now.Add(30 * time.Second)
	assert.Assert(t, f.factor(0) < 2.1, "%v: more than a lasting difference must not last", f.factor(0))
	f.now = f.now.Add(4 * time.Minute)
	assert.Assert(t, f.factor(0) < 1.3, "%v", f.factor(0))
	f.slowness[0] = 1
	for range 4 {
		f.stream(0)
	}
	f.now = f.now.Add(calm)
	assert.Assert(t, f.factor(0) < 1.15, "%v", f.factor(0))
}

// TestServicesThatStateNothingHaveNoEstimates guards against a change of deployments whose targets
// do not state a pace.
func TestServicesThatStateNothingHaveNoEstimates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		table.Update(append(listed("stating", 3), listed("silent", 3)...))
		now := start
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
			observeAny(rt, table, fmt.Sprint("silent", rapid.IntRange(0, 2).Draw(rt, "target")), now, false)
			observeAny(rt, table, fmt.Sprint("stating", rapid.IntRange(0, 2).Draw(rt, "other")), now, true)
			for i := range 3 {
				if f := table.Factor(fmt.Sprint("silent", i), "first", now); f != 1 {
					rt.Fatalf("factor %v", f)
				}
			}
			for _, s := range table.Local(false, now) {
				if s.GetAddress()[:2] == "si" {
					rt.Fatalf("shared %v", s)
				}
			}
		}
	})
}

// observeAny makes a drawn observation at a target, a stated pace only if states is set.
func observeAny(rt *rapid.T, table *Table, address string, now time.Time, states bool) {
	duration := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "ms")) * time.Millisecond
	kinds := []string{"events", "first event", "call"}
	if states {
		kinds = append(kinds, "stated")
	}
	switch rapid.SampledFrom(kinds).Draw(rt, "kind") {
	case "events":
		table.ObserveEvents(address, "first", duration, rapid.IntRange(-1, 100).Draw(rt, "running"), now)
	case "first event":
		table.ObserveFirstEvent(address, "first", rapid.IntRange(0, 10000).Draw(rt, "tokens"), duration, now)
	case "call":
		table.ObserveCall(address, "first", duration, rapid.IntRange(-1, 100).Draw(rt, "running"), now)
	case "stated":
		table.ObserveStated(address, "first", rapid.IntRange(-100, 1_000_000).Draw(rt, "percent"), now)
	}
}

// TestFactorsStayWithinBounds checks for any history that factors are numbers from 1/4 to 4, that
// they return to 1 with age, and that the table holds no more than the list.
func TestFactorsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := NewTable()
		table.Update(listed("e", 5))
		now := start
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 3000).Draw(rt, "pause")) * time.Millisecond)
			address := fmt.Sprint("e", rapid.IntRange(0, 6).Draw(rt, "target"))
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				table.Update(listed("e", rapid.IntRange(0, 5).Draw(rt, "n")))
			case 1:
				table.MergeRemote([]*chicoryv1.TargetSpeed{{
					Address: address, Instance: "first", Percent: rapid.Uint32().Draw(rt, "percent"),
					Weight: rapid.Float32().Draw(rt, "weight"), AgeMs: rapid.Uint32().Draw(rt, "age"),
				}}, now)
			default:
				observeAny(rt, table, address, now, true)
			}
			if f := table.Factor(address, "first", now); !(f >= 0.2499 && f <= 4.001) {
				rt.Fatalf("factor %v", f)
			}
			if len(table.byAddress) > 5 || len(table.changed) > len(table.byAddress) {
				rt.Fatalf("%d entries, %d changed", len(table.byAddress), len(table.changed))
			}
		}
		now = now.Add(statedLifetime + time.Second) // observations may have been made with a later time
		for i := range 5 {
			if f := table.Factor(fmt.Sprint("e", i), "first", now); f != 1 {
				rt.Fatalf("factor %v of a service whose last statement is %v old", f, statedLifetime)
			}
		}
	})
}

// TestNewIncarnationHasNoEstimate guards against a target that is taken for slow because the
// process that ran at its address before was.
func TestNewIncarnationHasNoEstimate(t *testing.T) {
	f := newFleet(1, 1, 1.6)
	for range 4 {
		for i := range 3 {
			f.stream(i)
		}
	}
	assert.Assert(t, f.factor(2) > 1.3, "%v", f.factor(2))
	list := listed("e", 3)
	list[2].Instance = "second"
	f.table.Update(list)
	assert.Equal(t, f.table.Factor("e2", "second", f.now), 1.0)
	assert.Equal(t, f.table.Factor("e2", "first", f.now), 1.0)
	f.table.ObserveStated("e2", "first", 250, f.now) // a late response of the old one
	assert.Equal(t, f.table.Factor("e2", "second", f.now), 1.0)
}

// TestCallsAndFirstEventsShowTheSpeed guards against estimates that only streams of many events
// change.
func TestCallsAndFirstEventsShowTheSpeed(t *testing.T) {
	table, now := NewTable(), start
	table.Update(append(listed("c", 3), listed("e", 3)...))
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		for i, slowness := range []float64{1, 1, 1.6} {
			table.ObserveStated(fmt.Sprint("c", i), "first", 100, now)
			table.ObserveStated(fmt.Sprint("e", i), "first", 100, now)
			table.ObserveCall(fmt.Sprint("c", i), "first", time.Duration(slowness*float64(20*time.Millisecond)), 1+n%2, now)
			table.ObserveFirstEvent(fmt.Sprint("e", i), "first", 4000+100*n, time.Duration(slowness*float64(4000+100*n)*float64(200*time.Microsecond)), now)
		}
	}
	for _, service := range []string{"c", "e"} {
		assert.Assert(t, table.Factor(service+"2", "first", now) > 1.2)
		assert.Assert(t, table.Factor(service+"0", "first", now) < 1.1)
	}
}

func BenchmarkFactor(b *testing.B) {
	f := newFleet(make([]float64, 280)...)
	for i := range 280 {
		f.slowness[i] = 0.6 + f.random.Float64()
		f.stream(i)
	}
	var addresses []string
	for i := range 280 {
		addresses = append(addresses, fmt.Sprint("e", i))
	}
	for i := 0; b.Loop(); i++ {
		f.table.Factor(addresses[i%280], "first", f.now)
	}
}

func BenchmarkObserveEvents(b *testing.B) {
	f := newFleet(1, 1, 1)
	f.stream(0)
	for b.Loop() {
		f.table.ObserveEvents("e0", "first", 30*time.Millisecond, 3, f.now)
	}
}
