package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
)

// maxExplainedDecisions is how many recent decisions of routers Explain returns.
const maxExplainedDecisions = 20

func (s *operatorService) Status(ctx context.Context, _ *connect.Request[chicoryv1.StatusRequest]) (*connect.Response[chicoryv1.StatusResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	c, _ := s.p.machine.Configuration()
	entries, inDoubt := s.p.machine.Claims()
	resp := &chicoryv1.StatusResponse{
		Revision:      c.GetRevision(),
		ClusterId:     c.GetClusterId(),
		OpenMoves:     uint64(len(c.GetMoves())),
		Claims:        uint64(entries),
		ClaimsInDoubt: uint64(len(inDoubt)),
	}
	resp.Vms = append(s.p.controlStatuses(), s.p.routerStatuses()...)
	return connect.NewResponse(resp), nil
}

func (p *Process) controlStatuses() []*chicoryv1.VMStatus {
	status := p.node.Status()
	var rows []*chicoryv1.VMStatus
	for _, m := range status.Members {
		row := &chicoryv1.VMStatus{
			Id:      m.ID,
			Role:    "control",
			Address: p.peerAddress(m.ID),
			Voter:   m.Voter,

			Incarnation: m.Incarnation,
			Leader:      m.ID == p.settings.ID,
			Live:        m.ID == p.settings.ID,
		}
		if row.GetLeader() {
			row.AvailabilityZone = string(p.settings.AvailabilityZone)
			row.AppliedIndex = status.AppliedIndex
		}
		rows = append(rows, row)
	}
	return rows
}

// peerAddress returns the peer address of a control VM from the settings.
func (p *Process) peerAddress(id string) string {
	for _, vm := range p.settings.Control {
		if vm.ID == id {
			return string(vm.Address)
		}
	}
	return ""
}

func (p *Process) routerStatuses() []*chicoryv1.VMStatus {
	var rows []*chicoryv1.VMStatus
	for _, e := range p.routers.list() {
		age := time.Since(e.lastSeen)
		rows = append(rows, &chicoryv1.VMStatus{
			Id:               e.report.GetRouterId(),
			Role:             "router",
			AvailabilityZone: e.report.GetAvailabilityZone(),
			Address:          e.report.GetAddress(),
			Revision:         e.report.GetRevision(),
			Live:             age < p.settings.RouterTimeout.Std(),
			LastSeenMs:       uint64(age / time.Millisecond),
		})
	}
	return rows
}

// Explain returns the configuration, moves and recent decisions of routers that
// explain the state of a route, a move, a target or a team.
func (s *operatorService) Explain(ctx context.Context, req *connect.Request[chicoryv1.ExplainRequest]) (*connect.Response[chicoryv1.ExplainResponse], error) {
	if err := s.p.readBarrier(ctx); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	subject := req.Msg.GetSubject()
	lines := explainConfiguration(s.p.machine.View(), subject)
	for _, m := range s.p.machine.Moves() {
		if m.GetId() == subject || m.GetIntent().GetRoute() == subject {
			lines = append(lines, move.Explain(m, time.Now())...)
		}
	}
	lines = append(lines, s.p.routers.decisionsMentioning(subject, maxExplainedDecisions)...)
	if len(lines) == 0 {
		err := fault.New(fault.NotFound, "nothing is known of %q", subject)
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(&chicoryv1.ExplainResponse{Lines: lines}), nil
}

func explainConfiguration(v *config.View, subject string) []string {
	var lines []string
	if r := v.Route(subject); r != nil {
		lines = append(lines, fmt.Sprintf("route %s: service %s, version %s takes new work", subject, r.GetService(), r.GetVersion()))
	}
	if t := v.Target(subject); t != nil {
		lines = append(lines, fmt.Sprintf("target %s: service %s, version %s, availability zone %s",
			subject, t.GetService(), t.GetVersion(), t.GetAvailabilityZone()))
	}
	if t := v.Team(subject); t != nil {
		lines = append(lines, fmt.Sprintf("team %s: %d tokens/s, %d concurrent generations, %d calls/s (0 is no limit)",
			subject, t.GetTokensPerSecond(), t.GetConcurrentGenerations(), t.GetCallsPerSecond()))
	}
	return lines
}
