package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// permits implements request.RateLimits. It has the number of permits by address; targets
// without an entry name no limit.
type permits map[string]int

func (p permits) IsLimited(address string) bool {
	_, ok := p[address]
	return ok
}

func (p permits) HasRoom(address string) bool { return !p.IsLimited(address) || p[address] > 0 }

func (p permits) Take(address string) bool {
	if !p.HasRoom(address) {
		return false
	}
	if p.IsLimited(address) {
		p[address]--
	}
	return true
}

func (p permits) Return(address string) { p[address]++ }

// A target in need gets no more requests than it has permits for; the others get the rest.
func TestRequestsAboveALimitGoToOtherTargets(t *testing.T) {
	f := newFixture(3)
	f.picker.opts.Limits = permits{address(0): 2}
	counts := f.picks(t, 100)
	assert.Assert(t, counts[address(0)] <= 2, "%v", counts)
	assert.Equal(t, counts[address(0)]+counts[address(1)]+counts[address(2)], 100)
}

// A request must wait for a permit, and not go to a target that is out of use.
func TestRequestWaitsIfAllTargetsAreLimited(t *testing.T) {
	f := newFixture(3)
	limits := permits{address(0): 0, address(1): 0}
	f.picker.opts.Limits = limits
	f.finish(2, Defaults().EjectErrors, request.ResultError)
	_, err := f.picker.Pick(newWork(), nil)
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)

	w := newWork()
	w.Reserved = address(1)
	got, _ := f.pick(t, w)
	assert.Equal(t, got, address(1))

	w.Reserved = address(0)
	_, err = f.picker.Pick(w, []string{address(0)})
	assert.Assert(t, fault.Is(err, fault.Overloaded), "%v", err)
	assert.Equal(t, limits[address(0)], 1, "a permit that can't be used is given back")
}

// Hedges and further attempts must not use up the rate of a target in need.
func TestRepeatsGoToTargetsWithoutALimit(t *testing.T) {
	f := newFixture(2)
	limits := permits{address(0): 50}
	f.picker.opts.Limits = limits
	w := newWork()
	w.Repeat = true
	for range 50 {
		got, done := f.pick(t, w)
		assert.Equal(t, got, address(1))
		done(request.ResultSuccess, 0)
	}
	_, err := f.picker.Pick(w, []string{address(1)})
	assert.Assert(t, err != nil)
	assert.Equal(t, limits[address(0)], 50)
}
