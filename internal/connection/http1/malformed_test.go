package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// respondOnce sends text in response to the first request and keeps the connection open until the client
// closes it.
func respondOnce(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, r)
	}
}

// assertMalformed checks that a target's response is refused, without waiting for further bytes.
func assertMalformed(t *testing.T, text string) {
	t.Helper()
	x := startTarget(t, respondOnce(text))
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	body, err := get(ctx, newPool(), x.address)
	assert.Assert(t, err != nil && !http1.IsNotSent(err), "%q, %v", body, err)
	assert.NilError(t, ctx.Err(), "waited for further bytes")
}

const requestTimeout = 3 * time.Second

// TestInvalidStatusIsNoResponse guards against an invalid status that is taken for that of an informational or
// a final response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for name, text := range responsetest.InvalidStatuses("", "body") {
		t.Run(name, func(t *testing.T) { assertMalformed(t, text) })
	}
}
