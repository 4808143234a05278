package standin

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// transactionService implements TransactionService for one replica.
type transactionService struct {
	r *Replica
}

func (s *transactionService) Invoke(ctx context.Context, req *connect.Request[chicoryv1.InvokeRequest]) (*connect.Response[chicoryv1.InvokeResponse], error) {
	m := req.Msg
	s.r.recordArrival(m)
	if err := s.r.beginRequest(m.GetRoute()); err != nil {
		return nil, err
	}
	if !s.r.slots.acquire(ctx, s.r.done, chicoryv1.Priority_PRIORITY_NORMAL) {
		return nil, connect.NewError(connect.CodeCanceled, errors.New("cancelled while queued"))
	}
	defer s.r.slots.release()
	// A call that has started runs to its end even if its caller disconnects.
	if !sleep(s.r.slowed(s.r.opts.CallTime, m.GetRoute()), s.r.done) {
		panic(http.ErrAbortHandler)
	}
	resp := s.r.finishCall(m)
	f := s.r.currentFaults()
	if f.GetLoseAnswers() {
		panic(http.ErrAbortHandler)
	}
	if s.r.chance(f.GetCrossedPermille()) {
		resp.CallId = s.r.mismatchedCallID(m.GetCallId())
	}
	return connect.NewResponse(resp), nil
}

// mismatchedCallID returns the ID of a call other than id: the last call that ran, if that
// is another one, or a made-up ID.
func (r *Replica) mismatchedCallID(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastCall != "" && r.lastCall != id {
		return r.lastCall
	}
	return "crossed-" + id
}

func (s *transactionService) LookupKey(_ context.Context, req *connect.Request[chicoryv1.LookupKeyRequest]) (*connect.Response[chicoryv1.LookupKeyResponse], error) {
	if !s.r.waitUnfrozen() {
		panic(http.ErrAbortHandler)
	}
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	resp := &chicoryv1.LookupKeyResponse{Version: s.r.version}
	if k := s.r.keys[teamKey{req.Msg.GetTeam(), req.Msg.GetKey()}]; k != nil {
		resp.Ran = k.ran
		resp.Payload = k.payload
	}
	return connect.NewResponse(resp), nil
}

// recordArrival counts a call as arrived.
func (r *Replica) recordArrival(m *chicoryv1.InvokeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.calls++
	if m.GetKey() == "" {
		return
	}
	id := teamKey{m.GetTeam(), m.GetKey()}
	k := r.keys[id]
	if k == nil {
		k = &keyRecord{}
		r.keys[id] = k
	}
	k.arrivals++
}

// finishCall records that the call ran and returns its response.
func (r *Replica) finishCall(m *chicoryv1.InvokeRequest) *chicoryv1.InvokeResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	payload := fmt.Appendf(nil, "%s:%s", m.GetMethod(), m.GetPayload())
	if k := r.keys[teamKey{m.GetTeam(), m.GetKey()}]; k != nil {
		k.ran = true
		k.payload = payload
	}
	r.lastCall = m.GetCallId()
	return &chicoryv1.InvokeResponse{CallId: m.GetCallId(), Payload: payload, Version: r.version}
}
