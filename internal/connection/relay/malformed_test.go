package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// TestMalformedResponseThroughAHelper guards against responses that are refused on direct connections only.
func TestMalformedResponseThroughAHelper(t *testing.T) {
	h := newHelper(t, ServerOptions{})
	c := newClient(t)
	for name, text := range responsetest.InvalidStatuses("", "body") {
		t.Run("status/"+name, func(t *testing.T) { assertMalformed(t, c, h.address, text) })
	}
	for name, text := range responsetest.MalformedHeads("X-A: b\r\n", "body") {
		t.Run("head/"+name, func(t *testing.T) { assertMalformed(t, c, h.address, text) })
	}
	for name, text := range responsetest.MalformedTrailers("X-A: b\r\n", "body") {
		t.Run("trailers/"+name, func(t *testing.T) { assertMalformed(t, c, h.address, text) })
	}
}

// assertMalformed sends a request through helper to a target that responds with text and keeps the connection
// open.
func assertMalformed(t *testing.T, c *Client, helper, text string) {
	t.Helper()
	target := newTarget(t, func(conn *net.TCPConn) {
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), lostWithin)
	defer cancel()
	body, err := readThrough(ctx, c, helper, target, &http1.Request{Method: "GET", URI: "/x", Host: "h"})
	assert.Assert(t, err != nil, "%q", body)
	assert.NilError(t, ctx.Err(), "waited for further bytes")
}

// readThrough sends a request through helper and reads the response.
func readThrough(ctx context.Context, c *Client, helper, target string, r *http1.Request) (body []byte, err error) {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return c.Dial(ctx, helper, address) }
	pool := http1.NewPoolWithDial(dial, http1.Defaults(), metrics.NewRegistry())
	x, err := pool.Send(ctx, target, r)
	if err != nil {
		return nil, err
	}
	response, err := x.ReadResponse()
	if err != nil {
		return nil, err
	}
	defer response.Abandon()
	return io.ReadAll(response)
}
