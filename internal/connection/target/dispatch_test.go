package target

import (
	"context"
	"errors"
	"net"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// invoke sends one call. Its headers make net/http treat it as idempotent.
func invoke(ctx context.Context, p *Pool, address string, m *chicoryv1.InvokeRequest) error {
	req := connect.NewRequest(m)
	req.Header().Set("Idempotency-Key", "k")
	req.Header().Set("X-Idempotency-Key", "k")
	_, err := p.Clients(address).Transaction.Invoke(ctx, req)
	return err
}

func newTestPool(t *testing.T, http1 bool) *Pool {
	t.Helper()
	p := NewPoolWith(Options{HTTP1: http1})
	t.Cleanup(p.Close)
	return p
}

// retryCases are server behaviours that the last request of each case meets.
var retryCases = []struct {
	name      string
	http1     bool
	behaviors []behavior
	// withoutDispatch is how often the last request arrives if it is sent without a
	// Dispatch.
	withoutDispatch int
}{
	{"http1 reused connection closes", true, []behavior{responds, closes}, 2},
	{"http1 redirect", true, []behavior{responds, redirects}, 1},
	{"http2 connection closes", false, []behavior{responds, closes}, 1},
	{"http2 refused stream", false, []behavior{responds, refusesStream}, 2},
	{"http2 refused stream at first", false, []behavior{refusesStream}, 2},
	{"http2 goaway", false, []behavior{responds, goesAway}, 2},
	{"http2 goaway at first", false, []behavior{goesAway}, 2},
	{"http2 redirect", false, []behavior{redirects}, 1},
}

func TestDispatchIsSentOnce(t *testing.T) {
	for _, c := range retryCases {
		for _, m := range []*chicoryv1.InvokeRequest{{CallId: "c", Payload: []byte("7")}, {}} {
			t.Run(c.name, func(t *testing.T) {
				s := startRawServer(t, c.http1, c.behaviors...)
				p := newTestPool(t, c.http1)
				for range len(c.behaviors) - 1 {
					assert.NilError(t, invoke(WithDispatch(context.Background(), &Dispatch{}), p, s.address(), m))
				}
				before := s.arrived()
				d := &Dispatch{}
				err := invoke(WithDispatch(context.Background(), d), p, s.address(), m)
				assert.Equal(t, s.arrived()-before, 1)
				assert.Assert(t, err != nil)
				assert.Assert(t, d.MayHaveArrived())
			})
		}
	}
}

// TestTransportRetriesWithoutDispatch checks how often the transport itself sends the
// requests of TestDispatchIsSentOnce when no Dispatch prevents retries.
func TestTransportRetriesWithoutDispatch(t *testing.T) {
	for _, c := range retryCases {
		t.Run(c.name, func(t *testing.T) {
			s := startRawServer(t, c.http1, c.behaviors...)
			p := newTestPool(t, c.http1)
			m := &chicoryv1.InvokeRequest{CallId: "c"}
			for range len(c.behaviors) - 1 {
				assert.NilError(t, invoke(context.Background(), p, s.address(), m))
			}
			before := s.arrived()
			_ = invoke(context.Background(), p, s.address(), m)
			assert.Equal(t, s.arrived()-before, c.withoutDispatch)
		})
	}
}

func TestSecondRequestOfADispatchIsRejected(t *testing.T) {
	s := startRawServer(t, false)
	p := newTestPool(t, false)
	ctx := WithDispatch(context.Background(), &Dispatch{})
	assert.NilError(t, invoke(ctx, p, s.address(), &chicoryv1.InvokeRequest{}))
	assert.Assert(t, errors.Is(invoke(ctx, p, s.address(), &chicoryv1.InvokeRequest{}), ErrResent))
	assert.Equal(t, s.arrived(), 1)
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	for _, http1 := range []bool{true, false} {
		d := &Dispatch{}
		err := invoke(WithDispatch(context.Background(), d), newTestPool(t, http1), address, &chicoryv1.InvokeRequest{})
		assert.Assert(t, err != nil)
		assert.Assert(t, !d.MayHaveArrived())
	}
}
