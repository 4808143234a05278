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

// applyConfirm commits a plan if none of the items it read has changed. A confirm that
// was applied before gets its recorded result; a reused request ID with different
// content is refused.
func (m *Machine) applyConfirm(req *chicoryv1.ConfirmRequest, index uint64, now time.Time) Result {
	digest := confirmDigest(req)
	if recorded := m.results[req.GetRequestId()]; recorded != nil {
		return replayResult(recorded, digest)
	}
	resp, err := m.commitPlan(req, index, now)
	m.results[req.GetRequestId()] = newResultRecord(req, digest, resp, err, now)
	if err != nil {
		return Result{Err: err}
	}
	return Result{Confirm: resp}
}

// confirmDigest covers the fields that must be equal when a confirm is resent. The
// stated reason and the time to wait may differ.
func confirmDigest(req *chicoryv1.ConfirmRequest) []byte {
	comparedFields := &chicoryv1.ConfirmRequest{
		Operator: req.GetOperator(),
		Plan:     &chicoryv1.Plan{Changes: req.GetPlan().GetChanges(), Reads: req.GetPlan().GetReads()},
	}
	// Marshaling this message can't fail.
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(comparedFields)
	sum := sha256.Sum256(b)
	return sum[:]
}

func replayResult(recorded *chicoryv1.ResultRecord, digest []byte) Result {
	if !bytes.Equal(recorded.GetDigest(), digest) {
		return Result{Err: fault.New(fault.RequestConflict, "request %s was used with another plan", recorded.GetRequestId())}
	}
	if recorded.GetFaultKind() != "" {
		return Result{Err: fault.New(fault.Kind(recorded.GetFaultKind()), "%s", recorded.GetMessage())}
	}
	resp := proto.Clone(recorded.GetResponse()).(*chicoryv1.ConfirmResponse)
	resp.Replayed = true
	return Result{Confirm: resp}
}

func newResultRecord(req *chicoryv1.ConfirmRequest, digest []byte, resp *chicoryv1.ConfirmResponse, err error, now time.Time) *chicoryv1.ResultRecord {
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

// commitPlan checks the plan's reads, applies its changes and publishes the result. It
// changes nothing if it fails.
func (m *Machine) commitPlan(req *chicoryv1.ConfirmRequest, index uint64, now time.Time) (*chicoryv1.ConfirmResponse, error) {
	if err := m.checkReads(req.GetPlan().GetReads()); err != nil {
		return nil, err
	}
	out, err := plan.Apply(plan.Input{
		Base:     m.view,
		Now:      now,
		MoveID:   fmt.Sprintf("move-%d", index),
		Operator: req.GetOperator(),
		Why:      req.GetWhy(),
	}, req.GetPlan().GetChanges())
	if err != nil {
		return nil, err
	}
	if err := checkReadsComplete(req.GetPlan().GetReads(), out.Reads); err != nil {
		return nil, err
	}
	if err := m.settleClaims(out.SettledClaims, now); err != nil {
		return nil, err
	}
	m.publish(out.Next, out.Touched)
	m.appendEndedMoves(out.EndedMoves)
	m.appendHistory(req, out.Effects, now)
	return &chicoryv1.ConfirmResponse{Revision: m.view.Revision(), MoveIds: out.MoveIDs}, nil
}

// settleClaims closes claims in doubt, either all of them or none.
func (m *Machine) settleClaims(settled []*chicoryv1.SettleClaim, now time.Time) error {
	seen := map[string]bool{}
	for _, s := range settled {
		id := s.GetTeam() + "/" + s.GetKey()
		if seen[id] || !m.callLedger.IsInDoubt(s.GetTeam(), s.GetKey()) {
			return fault.New(fault.NotFound, "key %s of team %s has no claim in doubt", s.GetKey(), s.GetTeam())
		}
		seen[id] = true
	}
	for _, s := range settled {
		if err := m.callLedger.Settle(s.GetTeam(), s.GetKey(), s.GetRan(), now); err != nil {
			return err
		}
	}
	return nil
}

// checkReads verifies that no item that the plan read has changed since. Verifying the
// read set at apply time follows "Implementing Transactions in Raft" (OpenBao);
// docs/design/0007-plan-and-confirm.md has the measurement that supports it.
func (m *Machine) checkReads(reads []*chicoryv1.Read) error {
	for _, r := range reads {
		if revision := m.itemRevisions[plan.Item(r.GetItem())]; revision != r.GetRevision() {
			return fault.New(fault.PlanStale, "%s was changed in revision %d after the plan was made; plan again", r.GetItem(), revision)
		}
	}
	return nil
}

// checkReadsComplete rejects a plan whose read set omits items that its changes read.
func checkReadsComplete(reads []*chicoryv1.Read, needed []plan.Item) error {
	listed := map[plan.Item]bool{}
	for _, r := range reads {
		listed[plan.Item(r.GetItem())] = true
	}
	for _, n := range needed {
		if !listed[n] {
			return fault.New(fault.InvalidArgument, "the plan does not name its read of %s", n)
		}
	}
	return nil
}

func (m *Machine) appendEndedMoves(moves []*chicoryv1.Move) {
	m.endedMoves = append(m.endedMoves, moves...)
	if extra := len(m.endedMoves) - maxEndedMoves; extra > 0 {
		m.endedMoves = append([]*chicoryv1.Move(nil), m.endedMoves[extra:]...)
	}
}

func (m *Machine) appendHistory(req *chicoryv1.ConfirmRequest, effects []string, now time.Time) {
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
