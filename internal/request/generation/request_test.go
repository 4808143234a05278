package generation

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// noChunk returns a SendFunc that fails the test if a chunk is released.
func noChunk(t testing.TB) SendFunc {
	return func(c *chicoryv1.GenerationChunk) error {
		t.Errorf("chunk %v was released", c)
		return nil
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1, "v1")
		defer env.close()
		cases := []struct {
			change func(*chicoryv1.GenerateRequest)
			want   fault.Kind
		}{
			{func(r *chicoryv1.GenerateRequest) { r.Prompt = "" }, fault.InvalidArgument},
			{func(r *chicoryv1.GenerateRequest) { r.Prompt = strings.Repeat("x", 256<<10+1) }, fault.PromptTooLong},
			{func(r *chicoryv1.GenerateRequest) { r.MaxTokens = 0 }, fault.InvalidArgument},
			{func(r *chicoryv1.GenerateRequest) { r.MaxTokens = 1 << 31 }, fault.InvalidArgument},
			{func(r *chicoryv1.GenerateRequest) { r.Route = "other" }, fault.UnknownRoute},
		}
		for _, c := range cases {
			req := testRequest(10)
			c.change(req)
			err := env.routers[0].Generate(context.Background(), req, noChunk(t))
			assert.Assert(t, fault.Is(err, c.want), "%v", err)
			assert.Equal(t, fault.Of(err).Ran, chicoryv1.Ran_RAN_NOT_RUN)
		}
		assert.Equal(t, env.engines[0].Counts("").GetGenerations(), uint64(0))
	})
}

func TestBadResumesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 2, "v1", "v1")
		defer env.close()
		received := &receivedText{}
		cutRouterAfter(env, received, 60, 25)
		other := &receivedText{}
		assert.NilError(t, env.routers[1].Generate(context.Background(), testRequest(60), other.receive))
		cases := []struct {
			name   string
			change func(*chicoryv1.ResumeRequest)
			want   fault.Kind
		}{
			{"no token", func(r *chicoryv1.ResumeRequest) { r.ResumeToken = "" }, fault.ResumeTokenInvalid},
			{"not base64", func(r *chicoryv1.ResumeRequest) { r.ResumeToken = "%%%" }, fault.ResumeTokenInvalid},
			{"forged", func(r *chicoryv1.ResumeRequest) { r.ResumeToken = flipLast(r.ResumeToken) }, fault.ResumeTokenInvalid},
			{"other team", func(r *chicoryv1.ResumeRequest) { r.Team = "sticla" }, fault.PermissionDenied},
			{"beyond the limit", func(r *chicoryv1.ResumeRequest) { r.Offset = 61 }, fault.OffsetOutOfRange},
			{"beyond the received tokens", func(r *chicoryv1.ResumeRequest) { r.Offset = 26 }, fault.OffsetOutOfRange},
			{"beyond the released tokens", func(r *chicoryv1.ResumeRequest) {
				r.Offset = 26
				r.Received = append(r.Received[:25:25], "more ")
			}, fault.GenerationLost},
			{"token missing", func(r *chicoryv1.ResumeRequest) {
				r.Offset = 24
				r.Received = append(r.Received[:3:3], r.Received[4:]...)
			}, fault.GenerationLost},
			{"other generation's text", func(r *chicoryv1.ResumeRequest) { r.Received = other.tokens[:25] }, fault.GenerationLost},
			{"other generation's token", func(r *chicoryv1.ResumeRequest) { r.ResumeToken = other.resumeToken }, fault.GenerationLost},
			{"token alone, wrong proof", func(r *chicoryv1.ResumeRequest) {
				r.Received = nil
				r.Proof++
			}, fault.GenerationLost},
			{"other prompt", func(r *chicoryv1.ResumeRequest) { r.Original.Prompt = "other" }, fault.InvalidArgument},
		}
		for _, c := range cases {
			req := received.resumeRequest(testRequest(60))
			c.change(req)
			err := env.routers[1].Resume(context.Background(), req, noChunk(t))
			assert.Assert(t, fault.Is(err, c.want), "%s: %v", c.name, err)
		}
		assert.NilError(t, env.routers[1].Resume(context.Background(), received.resumeRequest(testRequest(60)), received.receive))
		checkComplete(t, received, 60)
		time.Sleep(31 * time.Minute)
		err := env.routers[1].Resume(context.Background(), received.resumeRequest(testRequest(60)), noChunk(t))
		assert.Assert(t, fault.Is(err, fault.ResumeTokenExpired), "%v", err)
	})
}

// flipLast changes the character before the last one of a token.
func flipLast(token string) string {
	last := byte('A')
	if token[len(token)-2] == last {
		last = 'B'
	}
	return token[:len(token)-2] + string(last) + token[len(token)-1:]
}

func FuzzResumeToken(f *testing.F) {
	codec, err := newTokenCodec([]byte("0123456789abcdef"))
	assert.NilError(f, err)
	good, err := codec.seal(&chicoryv1.ResumeState{Team: testTeam})
	assert.NilError(f, err)
	f.Add(good)
	f.Add("")
	f.Fuzz(func(t *testing.T, token string) {
		_, err := codec.open(token, "another team")
		e := fault.Of(err)
		assert.Assert(t, e.Kind == fault.ResumeTokenInvalid || e.Kind == fault.PermissionDenied)
	})
}
