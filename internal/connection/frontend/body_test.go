package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
)

// TestIncompleteBodyIsRefused guards against a request that gets no response, and holds its
// connection, because its caller stops in the middle of the body.
func TestIncompleteBodyIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		host, framing string
		kind          fault.Kind
		atLeast       time.Duration
	}{
		"length":                  {"h", "Content-Length: 100\r\n\r\npart", fault.DeadlineNotRun, 300 * time.Millisecond},
		"chunks":                  {"h", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", fault.DeadlineNotRun, 300 * time.Millisecond},
		"refused before the body": {"unknown", "Content-Length: 100\r\n\r\npart", fault.UnknownRoute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := listen(t, answerBody)
			conn, r := x.dial(t)
			begin := time.Now()
			_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\nId: r1\r\nTimeout: 300ms\r\n%s", c.host, c.framing)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), string(c.kind)+"\n")
			took := time.Since(begin)
			assert.Assert(t, took >= c.atLeast && took < 5*time.Second, "%v", took)
		})
	}
}

// TestBodyLimitEndsWithTheBody guards against a limit on reading a body that cancels the
// request, or the next one on the connection, after the body was read.
func TestBodyLimitEndsWithTheBody(t *testing.T) {
	x := listen(t, answerSlowly)
	c, r := x.dial(t)
	for range 3 {
		text, err := exchangeOn(c, r, "body")
		assert.NilError(t, err)
		assert.Equal(t, text, "body")
	}
}

// answerSlowly answers after the request's deadline, unless the request is cancelled.
var answerSlowly = handlerFunc(func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
	select {
	case <-time.After(time.Until(a.Deadline) + 50*time.Millisecond):
		return answerBody(ctx, w, a)
	case <-ctx.Done():
		return fault.New(fault.Cancelled, "cancelled")
	}
})
