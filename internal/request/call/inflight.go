package call

import (
	"bytes"
	"sync"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// callKey identifies a call with an idempotency key. Keys are scoped to a team.
type callKey struct {
	team, key string
}

// inFlightCall is a call with a key, from its arrival until its outcome is committed.
// Resends that reach this router in the meantime share its result.
type inFlightCall struct {
	digest []byte
	done   chan struct{} // closed once resp and err are set

	resp *chicoryv1.CallResponse
	err  *fault.Error
}

// complete sets the result for the first caller and all that joined. It must be
// called once.
func (f *inFlightCall) complete(resp *chicoryv1.CallResponse, err *fault.Error) {
	f.resp, f.err = resp, err
	close(f.done)
}

// responseFor returns the result for one caller. It must be called after done is
// closed.
func (f *inFlightCall) responseFor(req *chicoryv1.CallRequest, joined bool) (*chicoryv1.CallResponse, error) {
	if f.err != nil {
		return nil, f.err
	}
	resp := proto.CloneOf(f.resp)
	resp.RequestId = req.GetRequestId()
	resp.Replayed = resp.GetReplayed() || joined
	return resp, nil
}

// inFlightCalls holds the calls with a key that are in flight at this router.
type inFlightCalls struct {
	mu    sync.Mutex // guards byKey
	byKey map[callKey]*inFlightCall
}

// isOutcomeUnknown reports whether the call is complete with an unknown outcome. Such
// a call remains in byKey until runInFlight removes it. A resend must not join it but
// query the ledger again, since the outcome may have been resolved in the meantime.
func (f *inFlightCall) isOutcomeUnknown() bool {
	select {
	case <-f.done:
		return f.err != nil && f.err.Kind == fault.OutcomeUnknown
	default:
		return false
	}
}

// joinOrStart returns the in-flight call with the key of c and whether it existed
// before. It fails with the kind KeyConflict if that call has another digest.
func (calls *inFlightCalls) joinOrStart(c *call) (f *inFlightCall, joined bool, err error) {
	key := callKey{c.req.GetTeam(), c.req.GetKey()}
	digest := c.digest()
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if f, ok := calls.byKey[key]; ok && !f.isOutcomeUnknown() {
		if !bytes.Equal(f.digest, digest) {
			return nil, false, fault.New(fault.KeyConflict, "%s", keyConflictMessage)
		}
		return f, true, nil
	}
	f = &inFlightCall{digest: digest, done: make(chan struct{})}
	calls.byKey[key] = f
	return f, false, nil
}

// remove removes f, unless a later call with the same key has replaced it.
func (calls *inFlightCalls) remove(c *call, f *inFlightCall) {
	key := callKey{c.req.GetTeam(), c.req.GetKey()}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if calls.byKey[key] == f {
		delete(calls.byKey, key)
	}
}
