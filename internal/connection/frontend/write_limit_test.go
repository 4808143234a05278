package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestWriteLimitEndsWithItsRequest guards against a request on a kept connection that is passed
// on and gets no response because the write limit of the request before has passed: "100 Continue"
// is written before the new limit is set.
func TestWriteLimitEndsWithItsRequest(t *testing.T) {
	x := listen(t, func(ctx context.Context, w http.ResponseWriter, a *exchange.AdmittedRequest) error {
		assert.Check(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(20*time.Millisecond)) == nil)
		return answerBody(ctx, w, a)
	})
	x.apply(2, declared.Limits{IdleTimeout: time.Minute})
	c, r := x.dial(t)
	for range 2 {
		_, err := fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		assert.NilError(t, err)
		for _, want := range []int{http.StatusContinue, http.StatusOK} {
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, want)
			if want == http.StatusContinue {
				_, err = io.WriteString(c, "body")
				assert.NilError(t, err)
				continue
			}
			text, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(text), "body")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
