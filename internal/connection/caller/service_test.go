package caller

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// handlers counts the admitted requests and returns err for each.
type handlers struct {
	err      error
	admitted int
}

func (p *handlers) Generate(context.Context, *chicoryv1.GenerateRequest, generation.SendFunc) error {
	p.admitted++
	return p.err
}

func (p *handlers) Resume(context.Context, *chicoryv1.ResumeRequest, generation.SendFunc) error {
	p.admitted++
	return p.err
}

func (p *handlers) Cancel(context.Context, *chicoryv1.CancelRequest) error {
	p.admitted++
	return p.err
}

func (p *handlers) Call(context.Context, *chicoryv1.CallRequest) (*chicoryv1.CallResponse, error) {
	p.admitted++
	return &chicoryv1.CallResponse{}, p.err
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// serve starts a server for the teams ours and theirs, which have keys, over HTTP/1.1.
func serve(t *testing.T, p *handlers, ready bool) string {
	t.Helper()
	h := &config.Holder{}
	_, err := h.ApplyFull(&chicoryv1.Configuration{Revision: 1, ClusterId: "c", Teams: []*chicoryv1.Team{
		{Name: "ours", KeyDigest: digest("our-key")}, {Name: "theirs", KeyDigest: digest("their-key")},
	}})
	assert.NilError(t, err)
	s := NewService(h, p, p, func() bool { return ready }, logging.Discard())
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(s))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

// post sends a call as plain JSON over HTTP. It returns the FaultDetail of the response,
// or nil if the call succeeded, and the error message.
func post(t *testing.T, url, team, key string) (*chicoryv1.FaultDetail, string) {
	t.Helper()
	body := `{"request_id":"q1","team":"` + team + `","route":"book"}`
	req, err := http.NewRequest(http.MethodPost, url+chicoryv1connect.CallerServiceCallProcedure, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return nil, ""
	}
	var response struct {
		Message string
		Details []struct{ Type, Value string }
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&response))
	assert.Equal(t, len(response.Details), 1)
	b, err := base64.RawStdEncoding.DecodeString(response.Details[0].Value)
	assert.NilError(t, err)
	d := &chicoryv1.FaultDetail{}
	assert.NilError(t, proto.Unmarshal(b, d))
	assert.Equal(t, resp.StatusCode, fault.Kind(d.GetKind()).Row().Status)
	return d, response.Message
}

// TestTeamsNeedTheirOwnKey checks that only a team's own key is accepted, and that the
// error names the request and is the same whether or not the team exists.
func TestTeamsNeedTheirOwnKey(t *testing.T) {
	p := &handlers{}
	url := serve(t, p, true)
	accepted, _ := post(t, url, "ours", "our-key")
	assert.Assert(t, accepted == nil)
	first, firstMessage := post(t, url, "ours", "")
	for _, c := range [][2]string{{"ours", "wrong"}, {"ours", "their-key"}, {"theirs", "our-key"}, {"none", "our-key"}, {"", ""}} {
		d, message := post(t, url, c[0], c[1])
		assert.Equal(t, message, firstMessage)
		assert.Assert(t, proto.Equal(d, first), "%v: %v", c, d)
		assert.Equal(t, d.GetKind(), string(fault.Unauthenticated))
		assert.Equal(t, d.GetRan(), chicoryv1.Ran_RAN_NOT_RUN)
		assert.Equal(t, d.GetRequestId(), "q1")
	}
	assert.Equal(t, p.admitted, 1)
}

// TestErrorsCarryFaultDetails checks that every error carries its kind, whether the
// request ran and when to retry, for unary requests and streams and for each protocol.
func TestErrorsCarryFaultDetails(t *testing.T) {
	refused := fault.New(fault.Overloaded, "full").WithRetryAfter(7 * time.Second)
	for _, ready := range []bool{true, false} {
		want := refused
		if !ready {
			want = fault.New(fault.NotReady, "")
		}
		url := serve(t, &handlers{err: refused}, ready)
		d, _ := post(t, url, "ours", "our-key")
		assert.Equal(t, d.GetRetryAfterMs(), uint32(want.RetryAfter.Milliseconds()))
		for _, option := range []connect.ClientOption{connect.WithProtoJSON(), connect.WithGRPCWeb()} {
			c := chicoryv1connect.NewCallerServiceClient(http.DefaultClient, url, option)
			for name, err := range errorsByMethod(c) {
				f := fault.FromConnect(err)
				assert.Assert(t, f != nil, "%s: %v", name, err)
				assert.Equal(t, f.Kind, want.Kind)
				assert.Equal(t, f.Ran, want.Ran)
				assert.Equal(t, f.RetryAfter, want.RetryAfter)
			}
		}
	}
}

func authorized[T any](m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer our-key")
	return r
}

// errorsByMethod calls each method and returns its error.
func errorsByMethod(c chicoryv1connect.CallerServiceClient) map[string]error {
	ctx, out := context.Background(), map[string]error{}
	_, out["Call"] = c.Call(ctx, authorized(&chicoryv1.CallRequest{Team: "ours"}))
	_, out["Cancel"] = c.Cancel(ctx, authorized(&chicoryv1.CancelRequest{Team: "ours"}))
	g, err := c.Generate(ctx, authorized(&chicoryv1.GenerateRequest{Team: "ours"}))
	if out["Generate"] = err; err == nil {
		g.Receive()
		out["Generate"] = g.Err()
	}
	r, err := c.Resume(ctx, authorized(&chicoryv1.ResumeRequest{Team: "ours", Original: &chicoryv1.GenerateRequest{Team: "ours"}}))
	if out["Resume"] = err; err == nil {
		r.Receive()
		out["Resume"] = r.Err()
	}
	return out
}
