package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// TestReplacedTargetGetsNoWork guards against requests that are sent to targets that have started
// again under other IDs, one after the other and again, until the list shows them.
func TestReplacedTargetGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(3)
		w := newWork()
		w.Route.NonIdempotent = true
		for range 3 {
			_, done := f.pick(t, w)
			done(request.ResultReplaced, 0)
		}
		_, err := f.picker.Pick(w, nil)
		assert.Assert(t, fault.Is(err, fault.NoTarget), "%v", err)
		time.Sleep(replacedPause)
		_, done := f.pick(t, w)
		done(request.ResultSuccess, time.Millisecond)
	})
}

// TestListedReplacementGetsWork guards against a target that is avoided for its predecessor.
func TestListedReplacementGetsWork(t *testing.T) {
	f := newFixture(1)
	_, done := f.pick(t, newWork())
	done(request.ResultReplaced, 0)
	c := proto.Clone(f.holder.Current().Raw()).(*chicoryv1.Configuration)
	c.Revision++
	c.Targets[0].Instance = "second"
	_, err := f.holder.ApplyFull(c)
	assert.NilError(t, err)
	f.pick(t, newWork())
}
