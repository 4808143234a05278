package client

import (
	"context"
	"net"
	"net/http"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// step is the scripted behavior of fakeRouter for one request.
type step struct {
	// send is the number of tokens to send, starting at the requested offset.
	send int
	// then is how the request ends: with an error kind, "cut" (the connection is
	// aborted), "mute" (nothing is sent until the client cancels) or "end" (success).
	then string
	// retryAfter is the retry delay of an error kind.
	retryAfter time.Duration
}

// fakeRouter handles each request according to the next step.
type fakeRouter struct {
	chicoryv1connect.UnimplementedCallerServiceHandler
	steps    []step
	received []time.Time // time of each request
	resumes  []*chicoryv1.ResumeRequest
	calls    []*chicoryv1.CallRequest
	cancels  int
}

func (r *fakeRouter) next() step {
	s := r.steps[0]
	r.steps = r.steps[1:]
	r.received = append(r.received, time.Now())
	return s
}

func tokenRange(from, n int) []string {
	out := []string{}
	for i := from; i < from+n; i++ {
		out = append(out, string(rune('a'+i)))
	}
	return out
}

func (r *fakeRouter) serveStep(ctx context.Context, from int, send func(*chicoryv1.GenerationChunk) error) error {
	s := r.next()
	chunk := &chicoryv1.GenerationChunk{Offset: uint64(from), Tokens: tokenRange(from, s.send), Proof: uint32(from + s.send), ResumeToken: "token"}
	if s.then == "end" {
		chunk.FinishReason = chicoryv1.FinishReason_FINISH_REASON_LENGTH
	}
	if s.send > 0 || s.then == "end" {
		if err := send(chunk); err != nil {
			return err
		}
	}
	switch s.then {
	case "end":
		return nil
	case "cut":
		panic(http.ErrAbortHandler)
	case "mute":
		<-ctx.Done()
		return ctx.Err()
	}
	return fault.ToConnect(fault.New(fault.Kind(s.then), "scripted").WithRetryAfter(s.retryAfter), "")
}

func (r *fakeRouter) Generate(ctx context.Context, _ *connect.Request[chicoryv1.GenerateRequest], s *connect.ServerStream[chicoryv1.GenerateResponse]) error {
	return r.serveStep(ctx, 0, func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.GenerateResponse{Chunk: c})
	})
}

func (r *fakeRouter) Resume(ctx context.Context, req *connect.Request[chicoryv1.ResumeRequest], s *connect.ServerStream[chicoryv1.ResumeResponse]) error {
	r.resumes = append(r.resumes, req.Msg)
	return r.serveStep(ctx, int(req.Msg.GetOffset()), func(c *chicoryv1.GenerationChunk) error {
		return s.Send(&chicoryv1.ResumeResponse{Chunk: c})
	})
}

func (r *fakeRouter) Cancel(context.Context, *connect.Request[chicoryv1.CancelRequest]) (*connect.Response[chicoryv1.CancelResponse], error) {
	r.cancels++
	return connect.NewResponse(&chicoryv1.CancelResponse{}), nil
}

func (r *fakeRouter) Call(_ context.Context, req *connect.Request[chicoryv1.CallRequest]) (*connect.Response[chicoryv1.CallResponse], error) {
	r.calls = append(r.calls, req.Msg)
	s := r.next()
	switch s.then {
	case "end":
		return connect.NewResponse(&chicoryv1.CallResponse{Payload: []byte("done")}), nil
	case "cut":
		panic(http.ErrAbortHandler)
	}
	return nil, fault.ToConnect(fault.New(fault.Kind(s.then), "scripted").WithRetryAfter(s.retryAfter), "")
}

// pipeListener is a listener with in-memory connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case p.conns <- b:
		return a, nil
	case <-p.done:
		return nil, errors.New("refused")
	}
}

// withRouter runs test in a synctest bubble with a client of a fakeRouter.
func withRouter(t *testing.T, steps []step, test func(*testing.T, *Client, *fakeRouter)) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRouter{steps: steps}
		mux := http.NewServeMux()
		mux.Handle(chicoryv1connect.NewCallerServiceHandler(r))
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: mux, Protocols: protocols}
		p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		go func() { _ = server.Serve(p) }()
		c, err := New(Options{
			Addresses: []string{"10.0.0.1:8080"},
			NewTransport: func() *http.Transport {
				tr := newTransport()
				tr.DialContext = p.dial
				return tr
			},
		})
		assert.NilError(t, err)
		defer func() {
			c.Close()
			close(p.done)
			_ = server.Close()
		}()
		test(t, c, r)
	})
}

// TestStreamResumesAfterFailures checks the text, the reconnect delays and the last
// ResumeRequest of a stream whose connections fail in each way.
func TestStreamResumesAfterFailures(t *testing.T) {
	steps := []step{
		{0, "no_target", time.Second},
		{3, "cut", 0},
		{2, "mute", 0},
		{0, "cut", 0},
		{1, "generation_interrupted", 700 * time.Millisecond},
		{0, "draining", 0},
		{4, "end", 0},
	}
	withRouter(t, steps, func(t *testing.T, c *Client, r *fakeRouter) {
		s, err := c.Generate(context.Background(), &chicoryv1.GenerateRequest{Prompt: "p"})
		assert.NilError(t, err)
		for s.Next() {
		}
		assert.NilError(t, s.Err())
		assert.Equal(t, s.Text(), "abcdefghij")
		assert.Equal(t, s.Reconnects(), 6)
		delays := []time.Duration{}
		for i := 1; i < len(r.received); i++ {
			delays = append(delays, r.received[i].Sub(r.received[i-1]))
		}
		assert.DeepEqual(t, delays, []time.Duration{time.Second, 0, defaultStreamIdleTimeout, 20 * time.Millisecond, 700 * time.Millisecond, 20 * time.Millisecond})
		last := r.resumes[len(r.resumes)-1]
		assert.Equal(t, last.GetOffset(), uint64(6))
		assert.Equal(t, last.GetProof(), uint32(6))
		assert.DeepEqual(t, last.GetReceived(), tokenRange(0, 6))
		assert.Equal(t, last.GetOriginal().GetPrompt(), "p")
	})
}

func TestStreamEndsOnPermanentError(t *testing.T) {
	withRouter(t, []step{{3, "cut", 0}, {0, "generation_lost", 0}}, func(t *testing.T, c *Client, r *fakeRouter) {
		s, err := c.Generate(context.Background(), &chicoryv1.GenerateRequest{Prompt: "p"})
		assert.NilError(t, err)
		for s.Next() {
		}
		var e *Error
		assert.Assert(t, errors.As(s.Err(), &e))
		assert.Equal(t, e.Kind, "generation_lost")
		assert.Equal(t, e.Ran, "ran")
		assert.Equal(t, s.Text(), "abc")
	})
}

func TestStreamFailsAfterRetryTimeout(t *testing.T) {
	steps := []step{}
	for range 10000 {
		steps = append(steps, step{0, "cut", 0})
	}
	withRouter(t, steps, func(t *testing.T, c *Client, _ *fakeRouter) {
		start := time.Now()
		s, err := c.Generate(context.Background(), &chicoryv1.GenerateRequest{Prompt: "p"})
		assert.NilError(t, err)
		assert.Assert(t, !s.Next())
		assert.Assert(t, s.Err() != nil)
		assert.Assert(t, time.Since(start) <= defaultRetryTimeout)
	})
}

func TestCloseCancelsGeneration(t *testing.T) {
	withRouter(t, []step{{3, "mute", 0}}, func(t *testing.T, c *Client, r *fakeRouter) {
		s, err := c.Generate(context.Background(), &chicoryv1.GenerateRequest{Prompt: "p"})
		assert.NilError(t, err)
		assert.Assert(t, s.Next())
		s.Close()
		assert.Equal(t, r.cancels, 1)
		assert.Assert(t, !s.Next())
	})
}

func TestCallIsResentOnlyWhenSafe(t *testing.T) {
	cases := []struct {
		name  string
		req   *chicoryv1.CallRequest
		steps []step
		sent  int
		kind  string
	}{
		{"response lost, no key", &chicoryv1.CallRequest{}, []step{{0, "cut", 0}}, 1, "outcome_unknown"},
		{"response lost, key", &chicoryv1.CallRequest{Key: "k"}, []step{{0, "cut", 0}, {0, "end", 0}}, 2, ""},
		{"response lost, idempotent", &chicoryv1.CallRequest{Idempotent: true}, []step{{0, "cut", 0}, {0, "end", 0}}, 2, ""},
		{"not run, no key", &chicoryv1.CallRequest{}, []step{{0, "overloaded", time.Second}, {0, "end", 0}}, 2, ""},
		{"not run, key", &chicoryv1.CallRequest{Key: "k"}, []step{{0, "overloaded", time.Second}}, 1, "overloaded"},
		{"unknown, no key", &chicoryv1.CallRequest{}, []step{{0, "deadline_unknown", time.Second}}, 1, "deadline_unknown"},
		{"conflict", &chicoryv1.CallRequest{Key: "k"}, []step{{0, "key_conflict", 0}}, 1, "key_conflict"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withRouter(t, c.steps, func(t *testing.T, client *Client, r *fakeRouter) {
				_, err := client.Call(context.Background(), c.req)
				assert.Equal(t, len(r.calls), c.sent)
				if c.kind == "" {
					assert.NilError(t, err)
					return
				}
				var e *Error
				assert.Assert(t, errors.As(err, &e), "%v", err)
				assert.Equal(t, e.Kind, c.kind)
			})
		})
	}
}

func TestNewKeyFormatAndOrder(t *testing.T) {
	assert.Assert(t, regexp.MustCompile(`^[0-9a-f]{12}-[0-9a-f]{32}$`).MatchString(NewKey()))
	synctest.Test(t, func(t *testing.T) {
		first := NewKey()
		time.Sleep(time.Millisecond)
		assert.Assert(t, first < NewKey())
	})
}
