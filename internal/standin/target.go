package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// targetService implements TargetService for one replica.
type targetService struct {
	r *Replica
}

func (s *targetService) Load(context.Context, *connect.Request[chicoryv1.LoadRequest]) (*connect.Response[chicoryv1.LoadResponse], error) {
	if !s.r.waitUnfrozen() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(s.r.loadReport()), nil
}

// loadReport returns the replica's load. The fault "load lag" sets how old the figures may
// be; only leaving and the age are always current.
func (r *Replica) loadReport() *chicoryv1.LoadResponse {
	running, queued := r.slots.runningCount(), r.slots.queuedCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	lag := time.Duration(r.faults.GetLoadLagMs()) * time.Millisecond
	if r.report == nil || time.Since(r.reportedAt) >= lag {
		r.report = &chicoryv1.LoadResponse{
			Target:   r.opts.Address,
			Version:  r.version,
			Running:  uint32(running),
			Queued:   uint32(queued),
			Capacity: uint32(r.opts.Capacity),
		}
		r.reportedAt = time.Now()
	}
	return &chicoryv1.LoadResponse{
		Target:   r.report.GetTarget(),
		Version:  r.report.GetVersion(),
		Running:  r.report.GetRunning(),
		Queued:   r.report.GetQueued(),
		Capacity: r.report.GetCapacity(),
		Leaving:  r.faults.GetLeaving(),
		AgeMs:    uint32(time.Since(r.reportedAt) / time.Millisecond),
	}
}

func (s *targetService) Order(_ context.Context, req *connect.Request[chicoryv1.OrderRequest]) (*connect.Response[chicoryv1.OrderResponse], error) {
	if !s.r.waitUnfrozen() {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(s.r.order(req.Msg)), nil
}

// order executes an order. It refuses one whose fencing number is below the highest that it
// has seen, unless the fault ignore_fencing is set.
func (r *Replica) order(m *chicoryv1.OrderRequest) *chicoryv1.OrderResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.GetFencing() < r.fencing && !r.faults.GetIgnoreFencing() {
		reason := fmt.Sprintf("fencing number %d is below %d", m.GetFencing(), r.fencing)
		return &chicoryv1.OrderResponse{Reason: reason}
	}
	r.fencing = max(r.fencing, m.GetFencing())
	if m.GetKind() == chicoryv1.OrderKind_ORDER_KIND_LOAD_VERSION {
		r.version = m.GetName()
	}
	return &chicoryv1.OrderResponse{Accepted: true}
}

// faultService implements FaultService for one replica.
type faultService struct {
	r *Replica
}

func (s *faultService) SetFaults(_ context.Context, req *connect.Request[chicoryv1.SetFaultsRequest]) (*connect.Response[chicoryv1.SetFaultsResponse], error) {
	if a := req.Msg.GetReplica(); a == "" || a == s.r.opts.Address {
		f := req.Msg.GetFaults()
		if f == nil {
			f = &chicoryv1.Faults{}
		}
		s.r.SetFaults(f)
	}
	return connect.NewResponse(&chicoryv1.SetFaultsResponse{}), nil
}

func (s *faultService) Arrivals(_ context.Context, req *connect.Request[chicoryv1.ArrivalsRequest]) (*connect.Response[chicoryv1.ArrivalsResponse], error) {
	return connect.NewResponse(s.r.Counts(req.Msg.GetKey())), nil
}
