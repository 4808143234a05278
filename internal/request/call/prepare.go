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

// call is a request and its part of the current configuration.
type call struct {
	req     *chicoryv1.CallRequest
	work    request.Work
	service *chicoryv1.Service
	// id identifies the call. The ID of an attempt, which the target echoes, is id and
	// the attempt's number.
	id string
}

// isIdempotent reports whether the call may be sent more than once. A route that is
// configured as non-idempotent overrides the caller's flag.
func (c *call) isIdempotent() bool {
	return c.req.GetIdempotent() && !c.work.Route.GetNonIdempotent()
}

// prepare validates a request against the current configuration.
func (s *Service) prepare(req *chicoryv1.CallRequest) (*call, error) {
	if req.GetKey() != "" {
		if _, err := ledger.ParseKey(req.GetKey()); err != nil {
			// A malformed key can't have been claimed, so no call with it has run.
			return nil, fault.New(fault.InvalidArgument, "%s", err)
		}
	}
	if req.GetTeam() == "" || req.GetMethod() == "" {
		return nil, errorBeforeClaim(req, fault.New(fault.InvalidArgument, "the call has no team or no method"))
	}
	if len(req.GetPayload()) > s.opts.Settings.MaxPayloadBytes {
		return nil, errorBeforeClaim(req, fault.New(fault.InvalidArgument,
			"the payload is larger than %d bytes", s.opts.Settings.MaxPayloadBytes))
	}
	view := s.opts.Holder.Current()
	if view == nil {
		return nil, errorBeforeClaim(req, fault.New(fault.NotReady, "the router has no configuration yet"))
	}
	route := view.Route(req.GetRoute())
	if route == nil {
		return nil, errorBeforeClaim(req, fault.New(fault.UnknownRoute, "route %q does not exist", req.GetRoute()))
	}
	if route.GetNonIdempotent() && req.GetKey() == "" {
		return nil, fault.New(fault.KeyRequired, "calls to route %q require a key", route.GetName())
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
			Version:  s.opts.Chooser.Choose(route, versionSelectionID(req, id)),
			Priority: req.GetPriority(),
			Deadline: time.Now().Add(s.timeout(req, route)),
		},
	}, nil
}

// versionSelectionID returns the ID by which the version is chosen: the caller's
// request ID if there is one, otherwise id.
func versionSelectionID(req *chicoryv1.CallRequest, id string) string {
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

// digest returns the SHA-256 hash of the fields that must be equal in a resend:
// route, method and payload, each prefixed with its length.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.req.GetRoute()), []byte(c.req.GetMethod()), c.req.GetPayload()} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

// errorBeforeClaim returns e for a call that fails before the ledger is queried. For
// a call with a key, Ran is set to unknown, since an earlier call with the key may
// have run through another router.
func errorBeforeClaim(req *chicoryv1.CallRequest, e *fault.Error) *fault.Error {
	if req.GetKey() == "" {
		return e
	}
	return e.WithRan(chicoryv1.Ran_RAN_UNKNOWN)
}
