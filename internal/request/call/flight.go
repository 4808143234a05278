package call

import (
	"bytes"
	"sync"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// flightKey names a claimed call of this router.
type flightKey struct {
	team, key string
}

// flight is a call with a key from its arrival until its outcome is committed.
// Resends that come to this router meanwhile join it.
type flight struct {
	digest []byte
	done   chan struct{} // closed when resp and err are set

	resp *chicoryv1.CallResponse
	err  *fault.Error
}

// finish sets what the caller and those that joined get. It is called once.
func (f *flight) finish(resp *chicoryv1.CallResponse, err *fault.Error) {
	f.resp, f.err = resp, err
	close(f.done)
}

// answer returns the result for one of the callers, after done is closed.
func (f *flight) answer(req *chicoryv1.CallRequest, joined bool) (*chicoryv1.CallResponse, error) {
	if f.err != nil {
		return nil, f.err
	}
	resp := proto.CloneOf(f.resp)
	resp.RequestId = req.GetRequestId()
	resp.Replayed = resp.GetReplayed() || joined
	return resp, nil
}

// flights are the flights of a router.
type flights struct {
	mu    sync.Mutex // guards byKey
	byKey map[flightKey]*flight
}

// endedUnknown reports whether the flight has ended without a known outcome. It stays
// among the flights for a moment more; a resend must ask the ledger anew, since the
// outcome may have been settled meanwhile.
func (f *flight) endedUnknown() bool {
	select {
	case <-f.done:
		return f.err != nil && f.err.Kind == fault.OutcomeUnknown
	default:
		return false
	}
}

// join returns the flight of the call's key, and whether it was there already.
// It fails with the kind KeyConflict when the flight has another digest.
func (fs *flights) join(c *call) (f *flight, joined bool, err error) {
	key := flightKey{c.req.GetTeam(), c.req.GetKey()}
	digest := c.digest()
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if f, ok := fs.byKey[key]; ok && !f.endedUnknown() {
		if !bytes.Equal(f.digest, digest) {
			return nil, false, fault.New(fault.KeyConflict, "%s", keyConflictMessage)
		}
		return f, true, nil
	}
	f = &flight{digest: digest, done: make(chan struct{})}
	fs.byKey[key] = f
	return f, false, nil
}

// remove ends the flight f of the call's key, unless another one has taken its place.
func (fs *flights) remove(c *call, f *flight) {
	key := flightKey{c.req.GetTeam(), c.req.GetKey()}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.byKey[key] == f {
		delete(fs.byKey, key)
	}
}
