package http1_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// earlyRuns is the number of requests of each case: which system call returns the error of a connection varies.
const earlyRuns = 20

// lateReads is how often a response is read only after its connection has ended: each run of this number.
const lateReads = 4

// TestEarlyResponseWithoutLength guards against half a response that is taken for a whole one, since its connection
// was reset while the request was being written: the kernel returned the error to the write. A target may also
// end a whole response before it has read the request.
func TestEarlyResponseWithoutLength(t *testing.T) {
	for name, c := range responsetest.EarlyEnds() {
		t.Run(name, func(t *testing.T) {
			x, err := responsetest.StartEarlyTarget("HTTP/1.1 200 OK\r\n\r\nhalf", c.End)
			assert.NilError(t, err)
			defer x.Close()
			for run := range earlyRuns {
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				delay := time.Duration(0)
				if run%lateReads == 0 {
					delay = responsetest.EndTime
				}
				body, err := postLong(ctx, x.Address, delay)
				assert.NilError(t, ctx.Err())
				cancel()
				assert.Equal(t, err == nil, c.IsComplete, "%q, %v", body, err)
				assert.Assert(t, err != nil || body == "half", "%q", body)
			}
		})
	}
}

// postLong sends a long request and reads the response, its body after a delay.
func postLong(ctx context.Context, address string, delay time.Duration) (string, error) {
	r := &http1.Request{Method: "POST", URI: "/x", Host: "h", Body: make([]byte, responsetest.LongRequest), HasBody: true}
	x, err := newPool().Send(ctx, address, r)
	if err != nil {
		return "", err
	}
	response, err := x.ReadResponse()
	if err != nil {
		return "", err
	}
	time.Sleep(delay)
	body, err := response.ReadAll(maxBodyBytes)
	if err != nil {
		response.Abandon()
		return "", err
	}
	response.Finish()
	var b bytes.Buffer
	_, err = body.WriteTo(&b)
	return b.String(), err
}
