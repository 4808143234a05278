package call

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// call is one request with what the configuration says of it.
type call struct {
	req     *chicoryv1.CallRequest
	work    request.Work
	service *chicoryv1.Service
	// id is echoed by the target. Each attempt adds its number.
	id string
}

// isIdempotent reports whether the call may be sent more than once. A route whose
// calls may not be repeated overrides the caller's statement.
func (c *call) isIdempotent() bool {
	return c.req.GetIdempotent() && !c.work.Route.GetNonIdempotent()
}

// prepare checks a request against the configuration in force.
func (s *Service) prepare(req *chicoryv1.CallRequest) (*call, error) {
	if req.GetKey() != "" {
		if _, err := ledger.ParseKey(req.GetKey()); err != nil {
			// A malformed key was never claimed, so it has not run anywhere.
			return nil, fault.New(fault.InvalidArgument, "%s", err)
		}
	}
	if req.GetTeam() == "" || req.GetMethod() == "" {
		return nil, beforeClaim(req, fault.New(fault.InvalidArgument, "the call has no team or no method"))
	}
	if len(req.GetPayload()) > s.opts.Settings.MaxPayloadBytes {
		return nil, beforeClaim(req, fault.New(fault.InvalidArgument,
			"the payload is above %d bytes", s.opts.Settings.MaxPayloadBytes))
	}
	view := s.opts.Holder.Current()
	if view == nil {
		return nil, beforeClaim(req, fault.New(fault.NotReady, "the router has no configuration yet"))
	}
	route := view.Route(req.GetRoute())
	if route == nil {
		return nil, beforeClaim(req, fault.New(fault.UnknownRoute, "no route %q", req.GetRoute()))
	}
	if route.GetNonIdempotent() && req.GetKey() == "" {
		return nil, fault.New(fault.KeyRequired, "calls of route %q need a key", route.GetName())
	}
	id := rand.Text()
	return &call{
		req:     req,
		service: view.Service(route.GetService()),
		id:      id,
		work: request.Work{
			ID:       id,
			Team:     req.GetTeam(),
			Route:    route,
			Version:  s.opts.Chooser.Choose(route, versionIdentity(req, id)),
			Priority: req.GetPriority(),
			Deadline: time.Now().Add(s.timeout(req, route)),
		},
	}, nil
}

// versionIdentity returns what the version is chosen by: the caller's identity of
// the request where there is one.
func versionIdentity(req *chicoryv1.CallRequest, id string) string {
	if req.GetRequestId() != "" {
		return req.GetRequestId()
	}
	return id
}

func (s *Service) timeout(req *chicoryv1.CallRequest, route *chicoryv1.Route) time.Duration {
	d := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	if d == 0 {
		d = time.Duration(route.GetDefaultTimeoutMs()) * time.Millisecond
	}
	if d == 0 {
		d = s.opts.Settings.DefaultTimeout
	}
	return min(d, s.opts.Settings.MaxTimeout)
}

// digest returns the SHA-256 of what must be equal in a resend: route, method and
// payload, each with its length before it.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.req.GetRoute()), []byte(c.req.GetMethod()), c.req.GetPayload()} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// beforeClaim returns a refusal that is given before the ledger was asked. For a
// call with a key it can't say "not run": the key may have run through another
// router.
func beforeClaim(req *chicoryv1.CallRequest, e *fault.Error) *fault.Error {
	if req.GetKey() == "" {
		return e
	}
	return e.WithRan(chicoryv1.Ran_RAN_UNKNOWN)
}
