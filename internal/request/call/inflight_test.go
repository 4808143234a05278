package call

import (
	"testing"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// TestResendDoesNotJoinCallWithUnknownOutcome guards against resends that get an
// outdated result: a resend that joins a completed call with an unknown outcome, in the
// time before the call is removed, misses the outcome that the ledger has by then.
func TestResendDoesNotJoinCallWithUnknownOutcome(t *testing.T) {
	calls := inFlightCalls{byKey: map[callKey]*inFlightCall{}}
	c := &call{req: &chicoryv1.CallRequest{Team: "desk", Key: "k"}}
	first, joined, err := calls.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, !joined)
	first.complete(nil, fault.New(fault.OutcomeUnknown, "no known outcome"))
	second, joined, err := calls.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, !joined && second != first)
	calls.remove(c, first)
	third, joined, err := calls.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, joined && third == second, "removing the first call must not remove the second one")
}

// TestResendJoinsCallWhoseOutcomeIsBeingCommitted checks that a resend gets the result
// of a completed call, here the target's error, before its outcome is committed.
func TestResendJoinsCallWhoseOutcomeIsBeingCommitted(t *testing.T) {
	calls := inFlightCalls{byKey: map[callKey]*inFlightCall{}}
	c := &call{req: &chicoryv1.CallRequest{Team: "desk", Key: "k"}}
	first, _, err := calls.joinOrStart(c)
	assert.NilError(t, err)
	first.complete(nil, fault.New(fault.TargetRefused, "no"))
	_, joined, err := calls.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, joined)
}
