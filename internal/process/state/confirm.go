package state

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// applyConfirm commits a plan if nothing that it read has changed. A confirm
// that was applied before gets its first result again; the same identity with
// another content is refused.
func (m *Machine) applyConfirm(req *chicoryv1.ConfirmRequest, index uint64, now time.Time) Result {
	digest := confirmDigest(req)
	if first := m.results[req.GetRequestId()]; first != nil {
		return replay(first, digest)
	}
	resp, err := m.commitPlan(req, index, now)
	m.results[req.GetRequestId()] = record(req, digest, resp, err, now)
	if err != nil {
		return Result{Err: err}
	}
	return Result{Confirm: resp}
}

// confirmDigest covers what must be equal in a resend. Why and the time to wait
// may differ.
func confirmDigest(req *chicoryv1.ConfirmRequest) []byte {
	same := &chicoryv1.ConfirmRequest{
		Operator: req.GetOperator(),
		Plan:     &chicoryv1.Plan{Changes: req.GetPlan().GetChanges(), Reads: req.GetPlan().GetReads()},
	}
	// Marshalling a message of ours can't fail.
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(same)
	sum := sha256.Sum256(b)
	return sum[:]
}

func replay(first *chicoryv1.ResultRecord, digest []byte) Result {
	if !bytes.Equal(first.GetDigest(), digest) {
		return Result{Err: fault.New(fault.RequestConflict, "request %s was used with another plan", first.GetRequestId())}
	}
	if first.GetFaultKind() != "" {
		return Result{Err: fault.New(fault.Kind(first.GetFaultKind()), "%s", first.GetMessage())}
	}
	resp := proto.Clone(first.GetResponse()).(*chicoryv1.ConfirmResponse)
	resp.Replayed = true
	return Result{Confirm: resp}
}

func record(req *chicoryv1.ConfirmRequest, digest []byte, resp *chicoryv1.ConfirmResponse, err error, now time.Time) *chicoryv1.ResultRecord {
	r := &chicoryv1.ResultRecord{
		RequestId: req.GetRequestId(),
		Digest:    digest,
		Response:  resp,
		UnixMs:    now.UnixMilli(),
	}
	if e := fault.Of(err); e != nil {
		r.FaultKind = string(e.Kind)
		r.Message = e.Message
	}
	return r
}

// commitPlan checks the reads, applies the changes and puts the result in force.
// It changes nothing when it fails.
func (m *Machine) commitPlan(req *chicoryv1.ConfirmRequest, index uint64, now time.Time) (*chicoryv1.ConfirmResponse, error) {
	if err := m.checkReads(req.GetPlan().GetReads()); err != nil {
		return nil, err
	}
	out, err := plan.Apply(plan.Context{
		Base:     m.view,
		Now:      now,
		MoveID:   fmt.Sprintf("move-%d", index),
		Operator: req.GetOperator(),
		Why:      req.GetWhy(),
	}, req.GetPlan().GetChanges())
	if err != nil {
		return nil, err
	}
	if err := checkCovered(req.GetPlan().GetReads(), out.Reads); err != nil {
		return nil, err
	}
	if err := m.settle(out.Settled, now); err != nil {
		return nil, err
	}
	m.swap(out.Next, out.Touched)
	m.keepEnded(out.Ended)
	m.remember(req, out.Effects, now)
	return &chicoryv1.ConfirmResponse{Revision: m.view.Revision(), MoveIds: out.MoveIDs}, nil
}

// settle closes claims in doubt, all or none.
func (m *Machine) settle(settled []*chicoryv1.SettleClaim, now time.Time) error {
	seen := map[string]bool{}
	for _, s := range settled {
		id := s.GetTeam() + "/" + s.GetKey()
		if seen[id] || !m.calls.IsInDoubt(s.GetTeam(), s.GetKey()) {
			return fault.New(fault.NotFound, "key %s of team %s has no claim in doubt", s.GetKey(), s.GetTeam())
		}
		seen[id] = true
	}
	for _, s := range settled {
		if err := m.calls.Settle(s.GetTeam(), s.GetKey(), s.GetRan(), now); err != nil {
			return err
		}
	}
	return nil
}

// checkReads verifies that each item read by the plan is as it was. Verifying
// the read set at apply follows "Implementing Transactions in Raft" (OpenBao);
// docs/design/0007-plan-and-confirm.md has the measurement that speaks for it.
func (m *Machine) checkReads(reads []*chicoryv1.Read) error {
	for _, r := range reads {
		if at := m.items[plan.Item(r.GetItem())]; at != r.GetRevision() {
			return fault.New(fault.PlanStale, "%s was changed in revision %d after the plan was made; plan again", r.GetItem(), at)
		}
	}
	return nil
}

// checkCovered refuses a plan whose reads leave out what its changes read.
func checkCovered(reads []*chicoryv1.Read, needed []plan.Item) error {
	have := map[plan.Item]bool{}
	for _, r := range reads {
		have[plan.Item(r.GetItem())] = true
	}
	for _, n := range needed {
		if !have[n] {
			return fault.New(fault.InvalidArgument, "the plan does not name its read of %s", n)
		}
	}
	return nil
}

func (m *Machine) keepEnded(moves []*chicoryv1.Move) {
	m.ended = append(m.ended, moves...)
	if extra := len(m.ended) - maxEndedMoves; extra > 0 {
		m.ended = append([]*chicoryv1.Move(nil), m.ended[extra:]...)
	}
}

func (m *Machine) remember(req *chicoryv1.ConfirmRequest, effects []string, now time.Time) {
	m.history = append(m.history, &chicoryv1.HistoryEntry{
		Revision:  m.view.Revision(),
		UnixMs:    now.UnixMilli(),
		Operator:  req.GetOperator(),
		Why:       req.GetWhy(),
		Effects:   effects,
		RequestId: req.GetRequestId(),
	})
	if extra := len(m.history) - maxHistory; extra > 0 {
		m.history = append([]*chicoryv1.HistoryEntry(nil), m.history[extra:]...)
	}
}
