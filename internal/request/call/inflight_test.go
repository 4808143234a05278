package call

import (
	"testing"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// TestResendDoesNotJoinAFlightThatEndedUnknown: the flight has told its callers but is
// not removed yet. A resend that came just then got the old outcome, though the ledger
// had another by then.
func TestResendDoesNotJoinAFlightThatEndedUnknown(t *testing.T) {
	fs := inFlightCalls{byKey: map[callKey]*inFlightCall{}}
	c := &call{req: &chicoryv1.CallRequest{Team: "desk", Key: "k"}}
	first, joined, err := fs.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, !joined)
	first.complete(nil, fault.New(fault.OutcomeUnknown, "no known outcome"))
	second, joined, err := fs.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, !joined && second != first)
	fs.remove(c, first)
	third, joined, err := fs.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, joined && third == second, "the end of the first flight leaves the second one")
}

// TestResendJoinsAFlightWhoseAnswerIsBeingCommitted, be it a target's refusal.
func TestResendJoinsAFlightWhoseAnswerIsBeingCommitted(t *testing.T) {
	fs := inFlightCalls{byKey: map[callKey]*inFlightCall{}}
	c := &call{req: &chicoryv1.CallRequest{Team: "desk", Key: "k"}}
	first, _, err := fs.joinOrStart(c)
	assert.NilError(t, err)
	first.complete(nil, fault.New(fault.TargetRefused, "no"))
	_, joined, err := fs.joinOrStart(c)
	assert.NilError(t, err)
	assert.Assert(t, joined)
}
