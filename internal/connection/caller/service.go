// Package caller implements CallerService. It authenticates callers, assigns request
// IDs, passes each request to the handler for its kind and converts errors to responses
// that state whether the request ran and when to retry.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// GenerationHandler handles generations.
type GenerationHandler interface {
	Generate(ctx context.Context, req *chicoryv1.GenerateRequest, send generation.SendFunc) error
	Resume(ctx context.Context, req *chicoryv1.ResumeRequest, send generation.SendFunc) error
	Cancel(ctx context.Context, req *chicoryv1.CancelRequest) error
}

// CallHandler handles short calls.
type CallHandler interface {
	Call(ctx context.Context, req *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error)
}

// Service implements CallerService.
type Service struct {
	holder      *config.Holder
	generations GenerationHandler
	calls       CallHandler
	ready       func() bool
	log         *logging.Logger
}

// NewService returns a service that refuses requests with NotReady while ready returns
// false.
func NewService(h *config.Holder, g GenerationHandler, c CallHandler, ready func() bool, log *logging.Logger) *Service {
	return &Service{holder: h, generations: g, calls: c, ready: ready, log: log}
}

// Generate implements CallerService.
func (s *Service) Generate(ctx context.Context, req *connect.Request[chicoryv1.GenerateRequest], stream *connect.ServerStream[chicoryv1.GenerateResponse]) error {
	m := req.Msg
	m.RequestId = ensureID(m.GetRequestId())
	err := s.admit(req.Header(), m.GetTeam())
	if err == nil {
		err = s.generations.Generate(ctx, m, func(c *chicoryv1.GenerationChunk) error {
			return stream.Send(&chicoryv1.GenerateResponse{Chunk: c})
		})
	}
	return s.toConnectError(err, m.GetRequestId(), m.GetTeam(), m.GetRoute())
}

// Resume implements CallerService. It checks the key of the request's own team field, for
// which the resume token is opened, not of the original request's team.
func (s *Service) Resume(ctx context.Context, req *connect.Request[chicoryv1.ResumeRequest], stream *connect.ServerStream[chicoryv1.ResumeResponse]) error {
	m := req.Msg
	m.RequestId = ensureID(m.GetRequestId())
	err := s.admit(req.Header(), m.GetTeam())
	if err == nil {
		err = s.generations.Resume(ctx, m, func(c *chicoryv1.GenerationChunk) error {
			return stream.Send(&chicoryv1.ResumeResponse{Chunk: c})
		})
	}
	return s.toConnectError(err, m.GetRequestId(), m.GetTeam(), m.GetOriginal().GetRoute())
}

// Cancel implements CallerService.
func (s *Service) Cancel(ctx context.Context, req *connect.Request[chicoryv1.CancelRequest]) (*connect.Response[chicoryv1.CancelResponse], error) {
	m := req.Msg
	m.RequestId = ensureID(m.GetRequestId())
	err := s.admit(req.Header(), m.GetTeam())
	if err == nil {
		err = s.generations.Cancel(ctx, m)
	}
	if err := s.toConnectError(err, m.GetRequestId(), m.GetTeam(), ""); err != nil {
		return nil, err
	}
	return connect.NewResponse(&chicoryv1.CancelResponse{RequestId: m.GetRequestId()}), nil
}

// Call implements CallerService.
func (s *Service) Call(ctx context.Context, req *connect.Request[chicoryv1.CallRequest]) (*connect.Response[chicoryv1.CallResponse], error) {
	m := req.Msg
	m.RequestId = ensureID(m.GetRequestId())
	var resp *chicoryv1.CallResponse
	err := s.admit(req.Header(), m.GetTeam())
	if err == nil {
		resp, err = s.calls.Call(ctx, m)
	}
	if err := s.toConnectError(err, m.GetRequestId(), m.GetTeam(), m.GetRoute()); err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// ensureID returns id, or a random ID if it is empty.
func ensureID(id string) string {
	if id == "" {
		return rand.Text()
	}
	return id
}

// admit checks readiness and the team's key before anything runs. Its error does not
// reveal whether the team exists.
func (s *Service) admit(h http.Header, team string) error {
	view := s.holder.Current()
	if view == nil || !s.ready() {
		return fault.New(fault.NotReady, "this router has no current configuration yet")
	}
	t := view.Team(team)
	if t != nil && t.GetKeyDigest() == "" {
		return nil
	}
	key := strings.TrimPrefix(h.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	given := hex.EncodeToString(sum[:])
	if t == nil || subtle.ConstantTimeCompare([]byte(given), []byte(t.GetKeyDigest())) != 1 {
		return fault.New(fault.Unauthenticated, "the team is unknown, or its key is missing or wrong")
	}
	return nil
}

// toConnectError logs a failed request and converts err to the error for the caller.
func (s *Service) toConnectError(err error, requestID, team, route string) error {
	if err == nil {
		return nil
	}
	e := fault.Of(err)
	s.log.Info(logging.RequestRefused, logging.Fields{
		"request": requestID, "team": team, "route": route,
		"kind": e.Kind, "ran": e.Ran, "retry_after": e.RetryAfter, "reason": e.Message,
	})
	return fault.ToConnect(e, requestID)
}
