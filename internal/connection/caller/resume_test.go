package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request/generation"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
)

// resumeHandler serves every resume with one chunk.
type resumeHandler struct{}

func (resumeHandler) Generate(context.Context, *chicoryv1.GenerateRequest, generation.SendFunc) error {
	return nil
}

func (resumeHandler) Resume(_ context.Context, req *chicoryv1.ResumeRequest, send generation.SendFunc) error {
	return send(&chicoryv1.GenerationChunk{RequestId: req.GetRequestId(), Tokens: []string{"secret"}})
}

func (resumeHandler) Cancel(context.Context, *chicoryv1.CancelRequest) error { return nil }

// resume sends a resume request. It returns nil after the first chunk, or the stream's
// error.
func resume(t *testing.T, c chicoryv1connect.CallerServiceClient, key string, req *chicoryv1.ResumeRequest) error {
	t.Helper()
	r := connect.NewRequest(req)
	if key != "" {
		r.Header().Set("Authorization", "Bearer "+key)
	}
	stream, err := c.Resume(context.Background(), r)
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	if stream.Receive() {
		return nil
	}
	return stream.Err()
}

// TestResumeRequiresTheTeamsKey checks that a resume needs the key of the team for which
// its token is opened. It guards against checking the team of the original request
// instead, which the caller could set to another team or leave out.
func TestResumeRequiresTheTeamsKey(t *testing.T) {
	sum := sha256.Sum256([]byte("k"))
	h := &config.Holder{}
	_, err := h.ApplyFull(&chicoryv1.Configuration{Revision: 1, Teams: []*chicoryv1.Team{
		{Name: "secret", KeyDigest: hex.EncodeToString(sum[:])}, {Name: "open"},
	}})
	assert.NilError(t, err)
	s := NewService(h, resumeHandler{}, nil, func() bool { return true }, logging.Discard())
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewCallerServiceHandler(s))
	server := httptest.NewServer(mux)
	defer server.Close()
	c := chicoryv1connect.NewCallerServiceClient(server.Client(), server.URL)

	other := &chicoryv1.ResumeRequest{Team: "secret", Original: &chicoryv1.GenerateRequest{Team: "open"}}
	refused := fault.FromConnect(resume(t, c, "", other))
	assert.Assert(t, refused != nil && refused.Kind == fault.Unauthenticated, "%v", refused)
	assert.NilError(t, resume(t, c, "k", &chicoryv1.ResumeRequest{Team: "secret"}))
}
